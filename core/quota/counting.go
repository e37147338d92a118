package quota

import (
	"container/heap"

	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

// counting holds the owners that count, and notices when one begins or stops to. Its work for an ask does not grow with the owners.
type counting struct {
	places map[Place]*registered
	// instances is how many counted owners each instance has, and byDatabase those of each database.
	instances  map[types.InstanceID]int
	byDatabase map[types.DatabaseID][]*registered
	// expiries are all registered owners.
	expiries expiryHeap
}

func newCounting() counting {
	return counting{
		places: map[Place]*registered{}, instances: map[types.InstanceID]int{}, byDatabase: map[types.DatabaseID][]*registered{},
	}
}

// find returns the owner at the place, as a new one if it is not known.
func (c *counting) find(place Place, now clock.Moment) *registered {
	r := c.places[place]
	if r == nil {
		r = &registered{place: place, expires: now.Add(registration)}
		c.places[place] = r
		heap.Push(&c.expiries, r)
	}
	return r
}

// update brings the counted owners up to date after an ask of r, and returns the databases of those that have begun or stopped to count or
// have another standing.
func (c *counting) update(r *registered, standingChanged bool, now clock.Moment) map[types.DatabaseID]bool {
	changed := map[types.DatabaseID]bool{}
	if counts := r.counts(now); counts != r.counted || counts && standingChanged {
		changed[r.place.Database] = true
		c.setCounted(r, counts)
	}
	for len(c.expiries) > 0 && now > c.expiries[0].expires {
		e := c.expiries[0]
		switch {
		case e.counts(now):
			e.expires = e.at.Add(registration)
			heap.Fix(&c.expiries, 0)
			continue
		case e.counted:
			changed[e.place.Database] = true
			c.setCounted(e, false)
		}
		if now.Sub(e.asked) <= registration {
			e.expires = e.asked.Add(registration)
			heap.Fix(&c.expiries, 0)
			continue
		}
		heap.Pop(&c.expiries)
		delete(c.places, e.place)
	}
	return changed
}

// setCounted records whether the owner counts.
func (c *counting) setCounted(r *registered, counted bool) {
	if r.counted == counted {
		return
	}
	r.counted = counted
	instance, database := r.place.Instance, r.place.Database
	if counted {
		c.instances[instance]++
		c.byDatabase[database] = append(c.byDatabase[database], r)
		return
	}
	if c.instances[instance]--; c.instances[instance] == 0 {
		delete(c.instances, instance)
	}
	var left []*registered
	for _, other := range c.byDatabase[database] {
		if other != r {
			left = append(left, other)
		}
	}
	if c.byDatabase[database] = left; len(left) == 0 {
		delete(c.byDatabase, database)
	}
}

// division is how the limits are divided among the databases.
type division struct {
	// whole is the part of one database.
	whole float64
	// majority is set when the owners of most databases count, on several instances: no owner is replaced while the store shows nobody
	// anything, and a single instance that is cut off reaches no others.
	majority bool
}

// divide returns the division among the given number of databases.
func (c *counting) divide(databases int) division {
	return division{
		whole:    1 / float64(max(databases, len(c.byDatabase))),
		majority: len(c.instances) > 1 && 2*len(c.byDatabase) > databases,
	}
}

// part is what the owners of one database count for, and the same times the fraction of the start.
type part struct{ share, start float64 }

// part returns the part of the limits for which the owners of the database count.
func (c *counting) part(database types.DatabaseID, d division) part {
	var sum part
	for _, r := range c.byDatabase[database] {
		standing := r.standing
		standing.Confirmed = standing.Confirmed || d.majority
		added := min(d.whole-sum.share, d.whole*standing.weight())
		sum = part{sum.share + added, sum.start + added*standing.start()}
	}
	return sum
}

// expiryHeap orders owners by when each may stop to count or to be known unless it asks again; the first one comes first.
type expiryHeap []*registered

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(r any) { *h = append(*h, r.(*registered)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}

package place

import "turmericpulley/core/clock"

// choose returns the seat for the need, or nil when it has to wait.
//
// Replicas come first for what they can serve. The primary takes such work only while it keeps half of its slots free,
// unless no replica is going to hold the position before the objective: then all its slots are shared by rank.
func (d *Desk) choose(n Need, now clock.Moment) *seat {
	if n.Pinned != "" {
		if s := d.seats[n.Pinned]; s != nil && s.room(n) {
			return s
		}
		return nil
	}
	primary := d.openPrimary()
	if !n.Replicas {
		if primary != nil && primary.room(n) {
			return primary
		}
		return nil
	}
	best, soon := d.replica(n, now)
	if best != nil {
		return best
	}
	if primary == nil || !primary.room(n) {
		return nil
	}
	if soon && !primary.spare(primary.slots/2) {
		return nil
	}
	return primary
}

// openPrimary returns the primary's seat while work may go there.
func (d *Desk) openPrimary() *seat {
	if !d.open {
		return nil
	}
	return d.seats[d.primary]
}

// replica returns the best replica that can serve now, and whether one will before the objective. Doubtful ones are used
// only when no other holds the position before the objective.
func (d *Desk) replica(n Need, now clock.Moment) (best *seat, soon bool) {
	if best, soon = d.replicaOf(n, now, false); soon {
		return best, true
	}
	return d.replicaOf(n, now, true)
}

// replicaOf looks among the replicas that are doubtful, or among those that are not.
func (d *Desk) replicaOf(n Need, now clock.Moment, doubtful bool) (best *seat, soon bool) {
	for _, s := range d.seats {
		if s.target == d.primary || !s.usable || s.health.isDoubtful(now) != doubtful {
			continue
		}
		holds, at := s.lag.has(n.Floor, &d.history)
		if !holds && at > now {
			soon = soon || at < n.Objective
			continue
		}
		soon = true
		if !s.room(n) {
			continue
		}
		if best == nil || d.prefer(s, best, n) {
			best = s
		}
	}
	return best, soon
}

// prefer orders two replicas that can both serve: one that did not just fail, the less busy one, the nearer one.
func (d *Desk) prefer(a, b *seat, n Need) bool {
	if (a.target == n.Avoid) != (b.target == n.Avoid) {
		return b.target == n.Avoid
	}
	if x, y := a.busy*b.slots, b.busy*a.slots; x != y {
		return x < y
	}
	if a.near != b.near {
		return a.near
	}
	return a.target < b.target
}

package place

import (
	"slices"
	"time"

	"turmericpulley/core/clock"
)

// admit decides whether a new ticket may wait; if not it returns the expected wait.
//
// It answers a primary that gets more work than its slots can serve, as when all replicas lag: callers that are refused ask
// again, and what is then served late has cost slots for nothing. Among the work that waits for the primary the fewest
// callers are turned away by giving up the longest work first (Moore and Hodgson's rule for the least number of late jobs). What
// is given up waits to be served late when the overload is short, and is refused when timely work takes all slots.
func (d *Desk) admit(t *ticket, now clock.Moment) (time.Duration, bool) {
	if t.need.Pinned != "" {
		return 0, true
	}
	alone := d.needsPrimary(t, now)
	if alone {
		d.demand.note(t.expected, now)
	}
	if t.band(now) != bandTimely || !alone {
		wait, hopeless := d.hopeless(t, now)
		return wait, !hopeless
	}
	queue := []*ticket{t}
	for _, o := range d.waiting {
		if d.needsPrimary(o, now) {
			queue = append(queue, o)
		}
	}
	inOrder(queue, now)
	for {
		victim, wait := d.overdue(queue, now)
		if victim == nil {
			return 0, true
		}
		victim.givenUp = true
		late, hopeless := d.hopeless(victim, now)
		if victim == t {
			return max(wait, late), !hopeless
		}
		queue = slices.DeleteFunc(queue, func(o *ticket) bool { return o == victim })
		if hopeless {
			victim.done <- verdict{refusal: errOverload(max(wait, late))}
			d.waiting = slices.DeleteFunc(d.waiting, func(o *ticket) bool { return o == victim })
		}
	}
}

// overdue returns the ticket to give up, and its expected wait, when a ticket of the queue would miss its objective: the
// least important and longest of those up to it.
func (d *Desk) overdue(queue []*ticket, now clock.Moment) (*ticket, time.Duration) {
	primary := d.openPrimary()
	if primary == nil || !primary.usable {
		return nil, 0
	}
	ahead := primary.backlog()
	var victim *ticket
	for _, t := range queue {
		wait := ahead / time.Duration(primary.slots)
		ahead += t.expected
		if t.band(now) != bandTimely {
			continue
		}
		if victim == nil || t.dearerThan(victim) {
			victim = t
		}
		if t.isLate(wait, now) {
			return victim, wait
		}
	}
	return nil, 0
}

// needsPrimary reports whether only the primary is going to serve the ticket before its objective.
func (d *Desk) needsPrimary(t *ticket, now clock.Moment) bool {
	if t.need.Pinned != "" {
		return t.need.Pinned == d.primary
	}
	if !t.need.Replicas {
		return true
	}
	_, soon := d.replica(t.need, now)
	return !soon
}

// dearerThan reports whether giving up this ticket helps more of the others: it is less important, or takes longer.
func (t *ticket) dearerThan(o *ticket) bool {
	if t.need.Priority != o.need.Priority {
		return t.need.Priority > o.need.Priority
	}
	return t.expected > o.expected
}

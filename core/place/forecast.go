package place

import (
	"time"

	"turmericpulley/core/clock"
)

// lateFactor stretches the forecast of work that is late: timely work that arrives meanwhile goes first. Under a load of
// two thirds the wait behind it is three times as long.
const lateFactor = 3

// hopeless returns why a ticket cannot be served before its deadline, with the expected wait; it answers sustained
// overload, in which late work would wait to its deadline behind timely work that keeps arriving.
func (d *Desk) hopeless(t *ticket, now clock.Moment) (time.Duration, bool) {
	if t.need.Pinned != "" {
		return 0, false
	}
	wait := d.forecast(t, now)
	if wait == 0 {
		return 0, false
	}
	if now.Add(wait) > t.need.Objective {
		wait *= lateFactor
	}
	return wait, now.Add(wait) > t.need.Deadline
}

// forecast estimates how long a new ticket would wait for its first slot.
//
// It counts the work that waits ahead of it and competes for the same members. A read that replicas are going to serve
// competes with all waiting work for all slots; anything else competes for the primary's.
func (d *Desk) forecast(t *ticket, now clock.Moment) time.Duration {
	slots := 0
	soon := false
	if t.need.Replicas {
		_, soon = d.replica(t.need, now)
	}
	var ahead time.Duration
	for _, s := range d.seats {
		if s.usable && (soon || s.target == d.primary) {
			slots += s.slots
			ahead += time.Duration(max(0, s.busy-s.slots+1)) * initialWork
		}
	}
	if slots == 0 {
		return 0
	}
	for _, o := range d.waiting {
		if o.before(t, now) {
			ahead += d.work.expected(o.need.Class)
		}
	}
	return ahead / time.Duration(slots)
}

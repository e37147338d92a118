package place

import (
	"time"

	"turmericpulley/core/clock"
)

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

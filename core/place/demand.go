package place

import (
	"time"

	"turmericpulley/core/clock"
)

const (
	// demandSpan is the time over which demand is averaged: longer than the return of callers after a refusal, some 200 ms, and
	// shorter than the waves of load, 11 s at today's sites.
	demandSpan = time.Second
	// fullDemand is the demand from which work that is late is not served any more, because timely work takes all slots.
	fullDemand = 0.95
)

// demand is the work that only the primary can serve and that has to wait, as the number of slots that it would keep busy.
type demand struct {
	work fading
}

// note adds work that arrives.
func (d *demand) note(expected time.Duration, now clock.Moment) {
	d.work.set(d.work.now(now, demandSpan)+expected.Seconds()/demandSpan.Seconds(), now)
}

// stretch returns by how much the wait of late work grows through the timely work that arrives meanwhile; false when no slot
// is left for late work.
func (d *demand) stretch(slots int, now clock.Moment) (float64, bool) {
	share := d.work.now(now, demandSpan) / float64(slots)
	if share >= fullDemand {
		return 0, false
	}
	return 1 / (1 - share), true
}

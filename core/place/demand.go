package place

import (
	"time"

	"turmericpulley/core/clock"
)

const (
	// loadTimeConstant is the time over which demand is averaged: longer than the return of callers after a refusal, some 200 ms, and
	// shorter than the waves of load, 11 s at today's sites.
	loadTimeConstant = time.Second
	// maxUtilisation is the demand from which work that is late is not served any more, because timely work takes all slots.
	maxUtilisation = 0.95
)

// offeredLoad is the work that only the primary can serve and that has to wait, as the number of slots that it would keep busy.
type offeredLoad struct {
	value decayingValue
}

// record adds work that arrives.
func (d *offeredLoad) record(expected time.Duration, now clock.Moment) {
	d.value.set(d.value.valueAt(now, loadTimeConstant)+expected.Seconds()/loadTimeConstant.Seconds(), now)
}

// waitFactor returns by how much the wait of late work grows through the timely work that arrives meanwhile; false when no slot
// is left for late work.
func (d *offeredLoad) waitFactor(slots int, now clock.Moment) (float64, bool) {
	share := d.value.valueAt(now, loadTimeConstant) / float64(slots)
	if share >= maxUtilisation {
		return 0, false
	}
	return 1 / (1 - share), true
}

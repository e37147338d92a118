package place

import (
	"math"
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

// demand is the work that arrives for the primary, as a share of what its slots can do.
type demand struct {
	work float64 // slots that the arriving work would keep busy
	at   clock.Moment
}

// note adds work that arrives.
func (d *demand) note(expected time.Duration, now clock.Moment) {
	d.work = d.present(now) + expected.Seconds()/demandSpan.Seconds()
	d.at = now
}

func (d *demand) present(now clock.Moment) float64 {
	return d.work * math.Exp(-now.Sub(d.at).Seconds()/demandSpan.Seconds())
}

// stretch returns by how much the wait of late work grows through the timely work that arrives meanwhile; false when no slot
// is left for late work.
func (d *demand) stretch(slots int, now clock.Moment) (float64, bool) {
	share := d.present(now) / float64(slots)
	if share >= fullDemand {
		return 0, false
	}
	return 1 / (1 - share), true
}

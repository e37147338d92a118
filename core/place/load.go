package place

import (
	"time"

	"turmericpulley/core/clock"
)

const (
	// loadTimeConstant is the time over which the load is averaged. It is longer than the time after which refused callers
	// retry, about 200 ms, and shorter than the waves of load, which take 11 s on the current platforms.
	loadTimeConstant = time.Second
	// maxUtilisation is the load per slot from which late statements are no longer served, because timely ones take all slots.
	maxUtilisation = 0.95
)

// offeredLoad is the load of statements that have to wait, those for the primary or all: the number of slots that they would keep busy.
type offeredLoad struct {
	value decayingValue
}

// record adds a statement that arrives.
func (l *offeredLoad) record(serviceTime time.Duration, now clock.Moment) {
	l.value.set(l.value.valueAt(now, loadTimeConstant)+serviceTime.Seconds()/loadTimeConstant.Seconds(), now)
}

// waitFactor returns the factor by which timely statements that arrive meanwhile extend the wait of late ones; false if no slot
// is left for late statements.
func (l *offeredLoad) waitFactor(slots int, now clock.Moment) (float64, bool) {
	utilisation := l.value.valueAt(now, loadTimeConstant) / float64(slots)
	if utilisation >= maxUtilisation {
		return 0, false
	}
	return 1 / (1 - utilisation), true
}

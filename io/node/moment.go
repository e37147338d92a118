package node

import (
	"sync/atomic"
	"time"

	"turmericpulley/core/clock"
)

// moment is a moment that several goroutines use; zero is longer ago than any period.
type moment struct{ at atomic.Int64 }

// set records the moment.
func (m *moment) set(at clock.Moment) { m.at.Store(int64(at)) }

// isWithin reports whether the moment lies within the period before now.
func (m *moment) isWithin(period time.Duration, now clock.Moment) bool {
	at := clock.Moment(m.at.Load())
	return at != 0 && now.Sub(at) < period
}

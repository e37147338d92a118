package place

import (
	"math"
	"time"

	"turmericpulley/core/clock"
)

// decayingValue is a value that falls to a third of itself in each span.
type decayingValue struct {
	value   float64
	updated clock.Moment
}

func (f *decayingValue) valueAt(now clock.Moment, span time.Duration) float64 {
	return f.value * math.Exp(-now.Sub(f.updated).Seconds()/span.Seconds())
}

func (f *decayingValue) set(value float64, now clock.Moment) { f.value, f.updated = value, now }

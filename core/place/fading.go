package place

import (
	"math"
	"time"

	"turmericpulley/core/clock"
)

// fading is a value that falls to a third of itself in each span.
type fading struct {
	value float64
	at    clock.Moment
}

func (f *fading) now(now clock.Moment, span time.Duration) float64 {
	return f.value * math.Exp(-now.Sub(f.at).Seconds()/span.Seconds())
}

func (f *fading) set(value float64, now clock.Moment) { f.value, f.at = value, now }

package place

import (
	"math"
	"time"

	"turmericpulley/core/clock"
)

// decayingValue is a value that decays exponentially, to 1/e of itself in each time constant.
type decayingValue struct {
	value   float64
	updated clock.Moment
}

func (v *decayingValue) valueAt(now clock.Moment, timeConstant time.Duration) float64 {
	return v.value * math.Exp(-now.Sub(v.updated).Seconds()/timeConstant.Seconds())
}

func (v *decayingValue) set(value float64, now clock.Moment) { v.value, v.updated = value, now }

package quorum

import (
	"time"

	"turmericpulley/core/types"
)

const (
	ageSamples       = 512
	ageSampleSpacing = 100 * time.Millisecond
)

// Ages remembers which position the primary had at which time; it is not safe for concurrent use.
type Ages struct {
	samples [ageSamples]ageSample
	next    int
	count   int
}

type ageSample struct {
	position types.Position
	at       time.Time
}

// Note records that the primary's log ended at the position, or later, at the given time.
func (a *Ages) Note(position types.Position, at time.Time) {
	if a.count > 0 {
		last := &a.samples[(a.next+ageSamples-1)%ageSamples]
		if at.Before(last.at) || position < last.position {
			return
		}
		if position == last.position {
			last.at = at
			return
		}
		if at.Sub(last.at) < ageSampleSpacing && a.count > 1 && a.previousSpacing() < ageSampleSpacing {
			*last = ageSample{position: position, at: at}
			return
		}
	}
	a.samples[a.next] = ageSample{position: position, at: at}
	a.next = (a.next + 1) % ageSamples
	a.count = min(a.count+1, ageSamples)
}

func (a *Ages) previousSpacing() time.Duration {
	last := a.samples[(a.next+ageSamples-1)%ageSamples]
	before := a.samples[(a.next+ageSamples-2)%ageSamples]
	return last.at.Sub(before.at)
}

// Reset forgets everything, as after a change of primary.
func (a *Ages) Reset() {
	a.next = 0
	a.count = 0
}

// Age returns a bound on the age of data that is applied up to the position; false when it is older than all samples.
func (a *Ages) Age(applied types.Position, now time.Time) (time.Duration, bool) {
	for i := 1; i <= a.count; i++ {
		s := a.samples[(a.next+ageSamples-i)%ageSamples]
		if s.position <= applied {
			return now.Sub(s.at), true
		}
	}
	return 0, false
}

package quorum

import (
	"time"

	"turmericpulley/core/types"
)

const (
	maxSamples    = 512
	sampleSpacing = 100 * time.Millisecond
)

// PositionHistory remembers which position the primary had at which time; it is not safe for concurrent use.
type PositionHistory struct {
	samples [maxSamples]positionSample
	next    int
	count   int
}

type positionSample struct {
	position types.Position
	at       time.Time
}

// Record records that the primary's log ended at the position, or later, at the given time.
func (a *PositionHistory) Record(position types.Position, at time.Time) {
	if a.count > 0 {
		last := &a.samples[(a.next+maxSamples-1)%maxSamples]
		if at.Before(last.at) || position < last.position {
			return
		}
		if position == last.position {
			last.at = at
			return
		}
		if at.Sub(last.at) < sampleSpacing && a.count > 1 && a.lastSpacing() < sampleSpacing {
			*last = positionSample{position: position, at: at}
			return
		}
	}
	a.samples[a.next] = positionSample{position: position, at: at}
	a.next = (a.next + 1) % maxSamples
	a.count = min(a.count+1, maxSamples)
}

func (a *PositionHistory) lastSpacing() time.Duration {
	last := a.samples[(a.next+maxSamples-1)%maxSamples]
	before := a.samples[(a.next+maxSamples-2)%maxSamples]
	return last.at.Sub(before.at)
}

// Reset forgets everything, as after a change of primary.
func (a *PositionHistory) Reset() {
	a.next = 0
	a.count = 0
}

// Age returns a bound on the age of data that is applied up to the position; false when it is older than all samples.
func (a *PositionHistory) Age(applied types.Position, now time.Time) (time.Duration, bool) {
	for i := 1; i <= a.count; i++ {
		s := a.samples[(a.next+maxSamples-i)%maxSamples]
		if s.position <= applied {
			return now.Sub(s.at), true
		}
	}
	return 0, false
}

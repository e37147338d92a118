package quorum

import (
	"time"

	"turmericpulley/core/types"
)

// The history keeps maxSamples samples that are usually sampleSpacing apart.
const (
	maxSamples    = 512
	sampleSpacing = 100 * time.Millisecond
)

// PositionHistory records at which time the primary's log ended at which position; it is not safe for concurrent use.
type PositionHistory struct {
	// samples is a ring buffer; next is where the next sample goes.
	samples [maxSamples]positionSample
	next    int
	count   int
}

type positionSample struct {
	position types.Position
	at       time.Time
}

// Record records that at the given time the primary's log ended at the position or before it. A sample that is older or at a
// lower position than the last one is ignored.
func (h *PositionHistory) Record(position types.Position, at time.Time) {
	if h.count > 0 {
		last := &h.samples[(h.next+maxSamples-1)%maxSamples]
		if at.Before(last.at) || position < last.position {
			return
		}
		if position == last.position {
			last.at = at
			return
		}
		if at.Sub(last.at) < sampleSpacing && h.count > 1 && h.lastSpacing() < sampleSpacing {
			*last = positionSample{position: position, at: at}
			return
		}
	}
	h.samples[h.next] = positionSample{position: position, at: at}
	h.next = (h.next + 1) % maxSamples
	h.count = min(h.count+1, maxSamples)
}

// lastSpacing returns the time between the last two samples.
func (h *PositionHistory) lastSpacing() time.Duration {
	last := h.samples[(h.next+maxSamples-1)%maxSamples]
	before := h.samples[(h.next+maxSamples-2)%maxSamples]
	return last.at.Sub(before.at)
}

// Reset removes all samples, for use after a change of primary.
func (h *PositionHistory) Reset() {
	h.next = 0
	h.count = 0
}

// Age returns an upper bound on the age of the data of a replica that has applied the log up to the position; false when all
// samples are beyond it.
func (h *PositionHistory) Age(applied types.Position, now time.Time) (time.Duration, bool) {
	for i := 1; i <= h.count; i++ {
		s := h.samples[(h.next+maxSamples-i)%maxSamples]
		if s.position <= applied {
			return now.Sub(s.at), true
		}
	}
	return 0, false
}

package place

import (
	"sort"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

const (
	// historyRetention covers the largest age of data that routes allow, and lags worth estimating.
	historyRetention = 12 * time.Second
	// sampleInterval keeps one sample in this span, which is far below any bound on ages.
	sampleInterval = 5 * time.Millisecond
)

// sample says that every commit acknowledged before a moment is at or before a position.
type sample struct {
	position types.LogPosition
	// sentAt is when the question was sent whose answer carried the position.
	sentAt clock.Moment
	// reachedAt is when the primary was first known to be at the position.
	reachedAt clock.Moment
}

// History remembers where the primary's log ended at which moment; it is not safe for concurrent use.
//
// Samples grow strictly in both moments and positions: a later question with the same or a lower position says more.
type History struct {
	samples []sample
}

// Record records the position that came with the answer to a question asked at the moment.
func (h *History) Record(position types.LogPosition, asked clock.Moment) {
	s := sample{position: position, sentAt: asked, reachedAt: asked}
	for n := len(h.samples); n > 0; n = len(h.samples) {
		last := h.samples[n-1]
		if asked <= last.sentAt {
			return
		}
		if last.position.Before(position) {
			break
		}
		if last.position == position {
			s.reachedAt = last.reachedAt
		}
		h.samples = h.samples[:n-1]
	}
	if n := len(h.samples); n > 1 && asked.Sub(h.samples[n-2].sentAt) < sampleInterval {
		h.samples = h.samples[:n-1]
	}
	h.samples = append(h.samples, s)
	h.trim(asked.Add(-historyRetention))
}

// Reset forgets everything, as after a change of primary.
func (h *History) Reset() { h.samples = h.samples[:0] }

// MinPositionAt returns a position that includes every commit acknowledged before the moment; false when none is known.
func (h *History) MinPositionAt(m clock.Moment) (types.LogPosition, bool) {
	i := sort.Search(len(h.samples), func(i int) bool { return h.samples[i].sentAt >= m })
	if i == len(h.samples) {
		return types.LogPosition{}, false
	}
	return h.samples[i].position, true
}

// ReachedAt returns about when the primary reached the position; false when it is not known to have.
func (h *History) ReachedAt(position types.LogPosition) (clock.Moment, bool) {
	i := sort.Search(len(h.samples), func(i int) bool { return !h.samples[i].position.Before(position) })
	if i == len(h.samples) {
		return 0, false
	}
	return h.samples[i].reachedAt, true
}

// PassedAt returns about when the primary went beyond the position; false when it is not known to have.
func (h *History) PassedAt(position types.LogPosition) (clock.Moment, bool) {
	i := sort.Search(len(h.samples), func(i int) bool { return position.Before(h.samples[i].position) })
	if i == len(h.samples) {
		return 0, false
	}
	return h.samples[i].reachedAt, true
}

// Last returns the newest position and when it was asked for.
func (h *History) Last() (types.LogPosition, clock.Moment, bool) {
	if len(h.samples) == 0 {
		return types.LogPosition{}, 0, false
	}
	last := h.samples[len(h.samples)-1]
	return last.position, last.sentAt, true
}

func (h *History) trim(before clock.Moment) {
	drop := 0
	for drop < len(h.samples)-1 && h.samples[drop].sentAt < before {
		drop++
	}
	if drop > len(h.samples)/2 {
		h.samples = append(h.samples[:0], h.samples[drop:]...)
	}
}

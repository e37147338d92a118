package place

import (
	"sort"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

const (
	// historyRetention covers the largest age of data that routes allow and the longest lag that is worth estimating.
	historyRetention = 12 * time.Second
	// sampleInterval is the time in which at most two samples are kept; it is far below any bound on the age of data.
	sampleInterval = 5 * time.Millisecond
)

// sample says that every commit acknowledged before sentAt is at or before the position.
type sample struct {
	position types.LogPosition
	// sentAt is when the request was sent whose answer carried the position.
	sentAt clock.Moment
	// reachedAt is when the primary was first known to be at the position.
	reachedAt clock.Moment
}

// History records where the primary's log ended at which moment; it is not safe for concurrent use.
//
// Samples increase strictly in both moment and position. A later request that returned a position replaces the earlier samples
// at the same or a higher position, because it bounds the log's end at a later moment.
type History struct {
	samples []sample
}

// Record adds the position that came with the answer to a request sent at sentAt.
func (h *History) Record(position types.LogPosition, sentAt clock.Moment) {
	s := sample{position: position, sentAt: sentAt, reachedAt: sentAt}
	for n := len(h.samples); n > 0; n = len(h.samples) {
		last := h.samples[n-1]
		if sentAt <= last.sentAt {
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
	if n := len(h.samples); n > 1 && sentAt.Sub(h.samples[n-2].sentAt) < sampleInterval {
		h.samples = h.samples[:n-1]
	}
	h.samples = append(h.samples, s)
	h.trim(sentAt.Add(-historyRetention))
}

// Reset removes all samples, as after a change of the primary.
func (h *History) Reset() { h.samples = h.samples[:0] }

// MinPositionAt returns a position that includes every commit acknowledged before the moment; false if none is known.
func (h *History) MinPositionAt(m clock.Moment) (types.LogPosition, bool) {
	i := sort.Search(len(h.samples), func(i int) bool { return h.samples[i].sentAt >= m })
	if i == len(h.samples) {
		return types.LogPosition{}, false
	}
	return h.samples[i].position, true
}

// ReachedAt returns approximately when the primary reached the position; false if it is not known to have.
func (h *History) ReachedAt(position types.LogPosition) (clock.Moment, bool) {
	i := sort.Search(len(h.samples), func(i int) bool { return !h.samples[i].position.Before(position) })
	if i == len(h.samples) {
		return 0, false
	}
	return h.samples[i].reachedAt, true
}

// PassedAt returns approximately when the primary went beyond the position; false if it is not known to have.
func (h *History) PassedAt(position types.LogPosition) (clock.Moment, bool) {
	i := sort.Search(len(h.samples), func(i int) bool { return position.Before(h.samples[i].position) })
	if i == len(h.samples) {
		return 0, false
	}
	return h.samples[i].reachedAt, true
}

// Last returns the newest position and when the request for it was sent; false if there is none.
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

package place

import (
	"slices"
	"time"

	"turmericpulley/core/clock"
)

// waiter is a statement that waits for a slot.
type waiter struct {
	request SlotRequest
	arrived clock.Moment
	// serviceTime is the average time that a member works on a statement of its class.
	serviceTime time.Duration
	// share is the recent use of its account; nil when it belongs to none.
	share *accountShare
	// deferred marks a statement that waits to be served late, so that others can meet their objectives.
	deferred bool
	// result receives the grant, or the reason why there is none.
	result chan waitResult
}

// waitResult ends the wait of a statement.
type waitResult struct {
	grant   *Grant
	refusal error
}

// before reports whether the waiter is served before the other.
//
// When there are more statements than slots, statements of open transactions go first, because they hold connections and
// possibly locks. Statements that can still meet their objective are next, by priority and then by objective; of one priority,
// those of accounts that used more than their share come after the others. Late statements are last, so that they do not make further statements late.
func (w *waiter) before(other *waiter, now clock.Moment) bool {
	if a, b := w.band(now), other.band(now); a != b {
		return a < b
	}
	if w.request.Priority != other.request.Priority {
		return w.request.Priority < other.request.Priority
	}
	if a, b := w.isOverShare(), other.isOverShare(); a != b {
		return b
	}
	return w.request.Objective < other.request.Objective
}

// The bands in the order in which they are served.
const (
	bandPinned = iota
	bandTimely
	bandLate
)

func (w *waiter) band(now clock.Moment) int {
	switch {
	case w.request.Pinned != "":
		return bandPinned
	case now < w.request.Objective && !w.deferred:
		return bandTimely
	default:
		return bandLate
	}
}

// wouldBeLate reports whether the statement probably misses its objective after the wait.
func (w *waiter) wouldBeLate(wait time.Duration, now clock.Moment) bool {
	return now.Add(time.Duration(timelyWaitFactor*float64(wait))+w.serviceTime) > w.request.Objective
}

// sortWaiters sorts by the order at the moment; equal waiters keep their order of arrival.
func sortWaiters(waiters []*waiter, now clock.Moment) {
	slices.SortStableFunc(waiters, func(a, b *waiter) int {
		switch {
		case a.before(b, now):
			return -1
		case b.before(a, now):
			return 1
		default:
			return 0
		}
	})
}

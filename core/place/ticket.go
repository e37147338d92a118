package place

import (
	"slices"
	"time"

	"turmericpulley/core/clock"
)

// waiter is a need that waits at the desk.
type waiter struct {
	request SlotRequest
	arrived clock.Moment
	// serviceTime is how long a member usually works at it.
	serviceTime time.Duration
	// deferred tells that it cannot be served in time; it waits to be served late.
	deferred bool
	// result receives the grant, or the reason why there is none.
	result chan waitResult
}

// waitResult ends the wait of a ticket.
type waitResult struct {
	grant   *Grant
	refusal error
}

// before orders tickets.
//
// It answers more work than slots: statements of open transactions first, since they hold connections and perhaps
// locks; then work that can still meet its objective, by priority and then by the time left; then work that is late
// anyway, which must not make further work late.
func (t *waiter) before(o *waiter, now clock.Moment) bool {
	if a, b := t.band(now), o.band(now); a != b {
		return a < b
	}
	if t.request.Priority != o.request.Priority {
		return t.request.Priority < o.request.Priority
	}
	return t.request.Objective < o.request.Objective
}

const (
	bandPinned = iota
	bandTimely
	bandLate
)

func (t *waiter) band(now clock.Moment) int {
	switch {
	case t.request.Pinned != "":
		return bandPinned
	case now < t.request.Objective && !t.deferred:
		return bandTimely
	default:
		return bandLate
	}
}

// wouldBeLate reports whether the ticket probably misses its objective after the wait.
func (t *waiter) wouldBeLate(wait time.Duration, now clock.Moment) bool {
	return now.Add(time.Duration(timelyWaitFactor*float64(wait))+t.serviceTime) > t.request.Objective
}

// sortWaiters sorts tickets by their order at the moment; equal ones stay as they came.
func sortWaiters(tickets []*waiter, now clock.Moment) {
	slices.SortStableFunc(tickets, func(a, b *waiter) int {
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

package place

import (
	"slices"
	"time"

	"turmericpulley/core/clock"
)

// ticket is a need that waits at the desk.
type ticket struct {
	need    Need
	arrived clock.Moment
	// expected is how long a member usually works at it.
	expected time.Duration
	// givenUp tells that it cannot be served in time; it waits to be served late.
	givenUp bool
	// done receives the grant, or the reason why there is none.
	done chan verdict
}

// verdict ends the wait of a ticket.
type verdict struct {
	grant   *Grant
	refusal error
}

// before orders tickets.
//
// It answers more work than slots: statements of open transactions first, since they hold connections and perhaps
// locks; then work that can still meet its objective, by priority and then by the time left; then work that is late
// anyway, which must not make further work late.
func (t *ticket) before(o *ticket, now clock.Moment) bool {
	if a, b := t.band(now), o.band(now); a != b {
		return a < b
	}
	if t.need.Priority != o.need.Priority {
		return t.need.Priority < o.need.Priority
	}
	return t.need.Objective < o.need.Objective
}

const (
	bandPinned = iota
	bandTimely
	bandLate
)

func (t *ticket) band(now clock.Moment) int {
	switch {
	case t.need.Pinned != "":
		return bandPinned
	case now < t.need.Objective && !t.givenUp:
		return bandTimely
	default:
		return bandLate
	}
}

// isLate reports whether the ticket probably misses its objective after the wait.
func (t *ticket) isLate(wait time.Duration, now clock.Moment) bool {
	return now.Add(time.Duration(timelyFactor*float64(wait))+t.expected) > t.need.Objective
}

// inOrder sorts tickets by their order at the moment; equal ones stay as they came.
func inOrder(tickets []*ticket, now clock.Moment) {
	slices.SortStableFunc(tickets, func(a, b *ticket) int {
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

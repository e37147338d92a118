package place

import (
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

const (
	// initialLag is assumed of a replica that has not answered yet.
	initialLag = 50 * time.Millisecond
	// lagDecay is the weight of an observation that is below the estimate; one above it counts in full.
	lagDecay = 0.1
	// lagMargin is added to estimates, because a refusal for lag costs a round trip.
	lagMargin = 1.2
)

// lag estimates how far a replica applies behind the primary.
type lag struct {
	applied  types.LogPosition
	heard    clock.Moment
	estimate time.Duration
}

// note takes the position that an answer of the replica carried.
func (l *lag) note(position types.LogPosition, history *History, now clock.Moment) {
	l.heard = now
	if l.applied.Before(position) {
		l.applied = position
	}
	observed := time.Duration(0)
	if passed, behind := history.PassedAt(position); behind {
		observed = max(0, now.Sub(passed))
	}
	if observed >= l.estimate {
		l.estimate = observed
		return
	}
	l.estimate += time.Duration(lagDecay * float64(observed-l.estimate))
}

// has reports whether the replica has surely applied the position, and else when it probably will have.
func (l *lag) has(floor types.LogPosition, history *History) (bool, clock.Moment) {
	if !l.applied.Before(floor) {
		return true, 0
	}
	reached, known := history.ReachedAt(floor)
	if !known {
		return false, l.heard.Add(l.estimate)
	}
	return false, reached.Add(time.Duration(lagMargin * float64(l.estimate)))
}

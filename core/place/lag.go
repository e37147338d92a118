package place

import (
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

const (
	// initialLag is assumed of a replica that has not answered yet.
	initialLag = 50 * time.Millisecond
	// lagDecreaseWeight is the weight of an observation that is below the estimate; one above it counts in full.
	lagDecreaseWeight = 0.1
	// lagMarginFactor is added to estimates, because a refusal for lag costs a round trip.
	lagMarginFactor = 1.2
)

// replicationLag estimates how far a replica applies behind the primary.
type replicationLag struct {
	applied     types.LogPosition
	lastContact clock.Moment
	estimate    time.Duration
}

// record takes the position that an answer of the replica carried.
func (l *replicationLag) record(position types.LogPosition, history *History, now clock.Moment) {
	l.lastContact = now
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
	l.estimate += time.Duration(lagDecreaseWeight * float64(observed-l.estimate))
}

// hasApplied reports whether the replica has surely applied the position, and else when it probably will have.
func (l *replicationLag) hasApplied(floor types.LogPosition, history *History) (bool, clock.Moment) {
	if !l.applied.Before(floor) {
		return true, 0
	}
	reached, known := history.ReachedAt(floor)
	if !known {
		return false, l.lastContact.Add(l.estimate)
	}
	return false, reached.Add(time.Duration(lagMarginFactor * float64(l.estimate)))
}

package place

import (
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

const (
	// initialLag is assumed for a replica that has not answered yet.
	initialLag = 50 * time.Millisecond
	// lagDecreaseWeight is the weight of an observation below the estimate; one above the estimate replaces it.
	lagDecreaseWeight = 0.1
	// lagMarginFactor multiplies the estimate, because a refusal for lag costs a round trip.
	lagMarginFactor = 1.2
)

// replicationLag estimates how long after the primary a replica applies a log position.
type replicationLag struct {
	applied     types.LogPosition
	lastContact clock.Moment
	estimate    time.Duration
}

// record updates the estimate with the position that came with an answer of the replica.
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

// hasApplied reports whether the replica is known to have applied the position, and otherwise when it probably will have.
func (l *replicationLag) hasApplied(position types.LogPosition, history *History) (bool, clock.Moment) {
	if !l.applied.Before(position) {
		return true, 0
	}
	reached, known := history.ReachedAt(position)
	if !known {
		return false, l.lastContact.Add(l.estimate)
	}
	return false, reached.Add(time.Duration(lagMarginFactor * float64(l.estimate)))
}

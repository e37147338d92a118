package place

import (
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

const (
	// leavingUseLimit is how long a leaving primary may still get new statements after its notice was read. The platform allows 7 s
	// from the notice, which is read up to 2 s later.
	leavingUseLimit = 4500 * time.Millisecond
	// unseenNoticeAge is the assumed age of a notice that was there when the member was first listed, as for a new owner. A switchover
	// usually ends sooner after its notice.
	unseenNoticeAge = 2500 * time.Millisecond
)

// Leaving records since when members have been leaving; it must not be used by several goroutines at once.
//
// It answers a leaving primary whose replacement is delayed, for want of a member or because a former owner may still work. Until it
// is replaced it serves, but not for longer than a leaving member may be used.
type Leaving struct {
	clock clock.Clock
	// since is when the notice of each listed member was given; zero for a member that stays.
	since map[types.TargetID]clock.Moment
}

// NewLeaving returns a record without members.
func NewLeaving(c clock.Clock) *Leaving {
	return &Leaving{clock: c, since: map[types.TargetID]clock.Moment{}}
}

// Update replaces the listed members; leaving says of each whether it is leaving.
func (l *Leaving) Update(leaving map[types.TargetID]bool) {
	now := l.clock.Now()
	updated := make(map[types.TargetID]clock.Moment, len(leaving))
	for target, leaves := range leaving {
		since, listed := l.since[target]
		switch {
		case !leaves:
			updated[target] = 0
		case since != 0:
			updated[target] = since
		case listed:
			updated[target] = now
		default:
			updated[target] = now.Add(-unseenNoticeAge)
		}
	}
	l.since = updated
}

// MayUse reports whether the member may get new statements as the primary.
func (l *Leaving) MayUse(target types.TargetID) bool {
	since := l.since[target]
	return since == 0 || l.clock.Since(since) < leavingUseLimit
}

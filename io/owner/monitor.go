package owner

import (
	"context"

	"turmericpulley/core/pause"
	"turmericpulley/core/quorum"
	"turmericpulley/core/types"
	"turmericpulley/io/pgcli"
)

const (
	sqlStateNotInPrerequisiteState = "55000"
	sqlStateCannotConnectNow       = "57P03"
)

// monitor claims one member and watches its status until the context ends or the ownership is lost.
func (o *Owner) monitor(ctx context.Context, m *member) {
	failures := 0
	delay := monitorRetryMin
	claimRecorded := false
	for ctx.Err() == nil {
		watched, err := o.claimAndWatch(ctx, m, &claimRecorded)
		if o.mayBeSuperseded(err) {
			if newer := o.queryEpoch(ctx, m); newer > o.settings.Epoch {
				o.state.endOwnership(newer)
				return
			}
		}
		if watched {
			failures = 0
			delay = monitorRetryMin
			continue
		}
		failures++
		if failures >= failuresUntilDown {
			o.state.markDown(m.info.Target)
			m.pool.closeIdle()
		}
		if !pause.For(ctx, delay) {
			return
		}
		delay = min(2*delay, monitorRetryMax)
	}
}

// claimAndWatch connects, claims and watches until a call fails or the member reports a newer owner. watched reports that at
// least one watch call succeeded or that a newer owner was reported.
func (o *Owner) claimAndWatch(ctx context.Context, m *member, claimRecorded *bool) (watched bool, err error) {
	c, err := dialControl(ctx, o.settings, m.info)
	if err != nil {
		return false, err
	}
	defer c.close()
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	observed, err := c.claim(o.settings.Epoch)
	if err != nil {
		return false, err
	}
	if !*claimRecorded {
		o.state.recordClaim(observed)
		*claimRecorded = true
	}
	for {
		if observed.Target != m.info.Target {
			return false, errWrongMember(m.info, observed.Target)
		}
		observed.Leaving = observed.Leaving || o.listedAsLeaving(m.info.Target)
		o.settings.Counters.DiscardedEntries.Add(o.state.newlyDiscardedEntries(observed))
		if !o.state.recordObservation(observed) {
			return true, nil
		}
		o.settings.Counters.MonitorCalls.Add(1)
		if observed, err = c.watch(watchPosition(observed)); err != nil {
			return watched, err
		}
		watched = true
	}
}

// watchPosition returns the position for the next watch call: a primary's committed position or a replica's applied position.
// The member answers the call as soon as its committed position is higher.
func watchPosition(o quorum.Observation) types.Position {
	if o.Role == quorum.Primary {
		return o.Committed
	}
	return o.Applied
}

// mayBeSuperseded reports whether a member's refusal may come from a newer owner's claim; a restart causes the same error.
func (o *Owner) mayBeSuperseded(err error) bool {
	sqlState := pgcli.SQLState(err)
	return sqlState == sqlStateNotInPrerequisiteState || sqlState == sqlStateCannotConnectNow
}

// queryEpoch returns the epoch under which a member that refuses this owner is claimed; zero when it does not answer.
func (o *Owner) queryEpoch(ctx context.Context, m *member) types.Epoch {
	s := o.settings
	s.Epoch = 0
	c, err := dialControl(ctx, s, m.info)
	if err != nil {
		return 0
	}
	defer c.close()
	observed, err := c.status()
	if err != nil {
		return 0
	}
	return observed.Epoch
}

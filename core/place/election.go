package place

import (
	"time"

	"turmericpulley/core/types"
)

const (
	// busyMembersTimeout is how long an election waits for members that are alive but did not report where their logs end. Slots and
	// connections become free within about 100 ms. Those that an unresponsive former owner holds become free after 3 s.
	busyMembersTimeout = 5 * time.Second
	// missingCommitsTimeout is how long an election waits for a member that holds acknowledged commits which no listed member has, or
	// that holds none which a promotion dropped. The log of a member that has left is transferred to a new one at its address.
	missingCommitsTimeout = 10 * time.Second
)

// Candidate is a member that reported where its log ends.
type Candidate struct {
	Target  types.TargetID
	Leaving bool
	Log     types.LogPosition
}

// Election is what the owner knows when a primary is to be replaced.
type Election struct {
	// SyncReplicas is the number of replicas that hold a commit before it is acknowledged.
	SyncReplicas int
	// Planned is set when the primary leaves and serves until then.
	Planned bool
	// Members is the number of members besides the old primary, Candidates those of them that reported where their logs end.
	Members    int
	Candidates []Candidate
	// Busy is the number of members that are alive but had no slot or connection to report it, and WithoutPrimary how long the
	// database has been without a primary.
	Busy           int
	WithoutPrimary time.Duration
	// LastAcknowledged is the newest commit that this owner knows of.
	LastAcknowledged types.LogPosition
	// Timeline is the history in force. Logs are compared by what they hold of it.
	Timeline types.Timeline
}

// Best returns the candidate that is to be promoted if CanPromote allows it; false when there is none.
//
// With synchronous replicas it is the one that holds most of the history in force, because that may hold acknowledged commits which the
// others lack. Members that leave come last among equal logs. A planned replacement passes over them, since the member would have to be
// replaced again. Without synchronous replicas no log is promised to hold a commit, and members that stay come first.
//
// A log may hold commits that an earlier promotion dropped. They were acknowledged where there are no synchronous replicas, and callers
// have read without them since, so that they must not return: such a log comes last, however long it is. With synchronous replicas they
// were not acknowledged, and the log is only not preferred for them.
func (e Election) Best() (Candidate, bool) {
	var best Candidate
	found := false
	for _, c := range e.Candidates {
		if c.Leaving && e.Planned && e.SyncReplicas > 0 {
			continue
		}
		if !found || e.prefers(c, best) {
			best, found = c, true
		}
	}
	return best, found
}

// prefers reports whether candidate a is preferred to b.
func (e Election) prefers(a, b Candidate) bool {
	stays, more := !a.Leaving && b.Leaving, e.Timeline.Compare(a.Log, b.Log)
	doubtfulA, doubtfulB := e.Timeline.Doubtful(a.Log), e.Timeline.Doubtful(b.Log)
	if e.SyncReplicas > 0 {
		switch {
		case more != 0:
			return more > 0
		case doubtfulA != doubtfulB:
			return doubtfulA < doubtfulB
		default:
			return stays
		}
	}
	switch {
	case (a.Log.Number == 0) != (b.Log.Number == 0):
		return b.Log.Number == 0
	case (doubtfulA == 0) != (doubtfulB == 0):
		return doubtfulA == 0
	case a.Leaving != b.Leaving:
		return stays
	case doubtfulA != doubtfulB:
		return doubtfulA < doubtfulB
	default:
		return more > 0
	}
}

// CanPromote reports whether the candidate may become the primary.
//
// With synchronous replicas its log must hold every acknowledged commit. It counts as holding them when it reaches
// LastAcknowledged, or once all members have reported and none holds more. Without synchronous replicas the database does
// not promise that any replica holds a commit, and waiting for dead members would only cost time, unless the log may bring back commits
// that an earlier promotion dropped. The owner waits for a member that is alive but busy in both cases, because that member may hold all
// that the longest known log lacks.
func (e Election) CanPromote(c Candidate) bool {
	switch {
	case e.Busy > 0 && e.WithoutPrimary < busyMembersTimeout:
		return false
	case e.SyncReplicas == 0:
		return e.Timeline.Doubtful(c.Log) == 0 || !e.Planned && e.WithoutPrimary >= missingCommitsTimeout
	case e.isExceeded(c):
		return false
	case e.Timeline.Compare(c.Log, e.LastAcknowledged) < 0:
		return !e.Planned && len(e.Candidates) >= e.Members && e.WithoutPrimary >= missingCommitsTimeout
	default:
		return !e.LastAcknowledged.IsZero() || len(e.Candidates) >= e.Members
	}
}

// isExceeded reports whether another candidate holds more of the history in force.
func (e Election) isExceeded(c Candidate) bool {
	for _, other := range e.Candidates {
		if e.Timeline.Compare(c.Log, other.Log) < 0 {
			return true
		}
	}
	return false
}

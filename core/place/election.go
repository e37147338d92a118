package place

import (
	"time"

	"turmericpulley/core/types"
)

// busyMembersTimeout is how long an election waits for members that are alive but did not report where their logs end. Slots and
// connections become free within about 100 ms. Those that an unresponsive former owner holds become free after 3 s.
const busyMembersTimeout = 5 * time.Second

// Election is what the owner knows when a primary is to be replaced.
type Election struct {
	// SyncReplicas is the number of replicas that hold a commit before it is acknowledged.
	SyncReplicas int
	// Members is the number of members besides the old primary, Answered how many of them reported where their logs end.
	Members, Answered int
	// Busy is the number of members that are alive but had no slot or connection to report it, and WithoutPrimary how long the
	// database has been without a primary.
	Busy           int
	WithoutPrimary time.Duration
	// LongestLog is the end of the longest of the reported logs, LastAcknowledged the newest commit that this owner knows of.
	LongestLog, LastAcknowledged types.LogPosition
}

// CanPromote reports whether the member with the longest log may become the primary.
//
// With synchronous replicas that log must hold every acknowledged commit. It counts as holding them once all members have
// reported, or when it reaches LastAcknowledged. Without synchronous replicas the database does not promise that any replica
// holds a commit, and waiting for dead members would only cost time. The owner waits for a member that is alive but busy in
// both cases, because that member may hold all that the longest known log lacks.
func (e Election) CanPromote() bool {
	switch {
	case e.Busy > 0 && e.WithoutPrimary < busyMembersTimeout:
		return false
	case e.SyncReplicas == 0:
		return true
	case e.Answered >= e.Members:
		return true
	default:
		return !e.LastAcknowledged.IsZero() && !e.LongestLog.Before(e.LastAcknowledged)
	}
}

package place

import (
	"time"

	"turmericpulley/core/types"
)

// busyMembersTimeout is how long an election waits for members that are alive but did not tell where their logs end: slots
// and connections come free within some 100 ms, those of a former owner that does not answer after 3 s.
const busyMembersTimeout = 5 * time.Second

// Election is what is known when a primary is to be replaced.
type Election struct {
	// SyncReplicas is the number of replicas that hold a commit before it is acknowledged.
	SyncReplicas int
	// Members is the number of members besides the old primary, Answered how many of them told where their logs end.
	Members, Answered int
	// Busy is the number of members that are alive but had no slot or connection to tell it, and Waited how long the database
	// has been without a primary.
	Busy           int
	WithoutPrimary time.Duration
	// LongestLog is the end of the longest of these logs, Acknowledged the newest commit that this owner knows of.
	LongestLog, LastAcknowledged types.LogPosition
}

// CanPromote reports whether the member with the longest log holds every acknowledged commit, as far as the database
// promises that any replica does. Without synchronous replicas it promises nothing, and waiting for members that are dead
// would only cost time; one that is alive but busy may hold all that the longest known log lacks.
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

package place

import "turmericpulley/core/types"

// Election is what is known when a primary is to be replaced.
type Election struct {
	// SyncReplicas is the number of replicas that hold a commit before it is acknowledged.
	SyncReplicas int
	// Members is the number of members besides the old primary, Answered how many of them told where their logs end.
	Members, Answered int
	// Longest is the end of the longest of these logs, Acknowledged the newest commit that this owner knows of.
	Longest, Acknowledged types.LogPosition
}

// Electable reports whether the member with the longest log holds every acknowledged commit, as far as the database
// promises that any replica does. Without synchronous replicas it promises nothing, and waiting would only cost time.
func (e Election) Electable() bool {
	switch {
	case e.SyncReplicas == 0:
		return true
	case e.Answered >= e.Members:
		return true
	default:
		return !e.Acknowledged.IsZero() && !e.Longest.Before(e.Acknowledged)
	}
}

package stmt

import (
	"time"

	"turmericpulley/core/types"
)

// MemberStatus is what a member reports about itself.
type MemberStatus struct {
	Primary bool
	Term    types.Term
	// Received is the last position of the log that the member holds, applied or not.
	Received types.LogPosition
	// PausedTerm is the term for which the member was paused; zero when it is not paused.
	PausedTerm types.Term
	// Lag is the delay with which the member applies the log of its primary.
	Lag time.Duration
	// BusySlots and Connections are the numbers of slots and connections in use.
	BusySlots   int
	Connections int
}

package stmt

import (
	"time"

	"turmericpulley/core/types"
)

// MemberStatus is what a member says of itself.
type MemberStatus struct {
	Primary bool
	Term    types.Term
	// Received is the end of the log that the member holds, applied or not.
	Received types.LogPosition
	// PausedTerm is the term for which the member was paused; zero when it is not.
	PausedTerm types.Term
	// Lag is how far the member applies behind its primary.
	Lag time.Duration
	// BusySlots and Connections count the slots and connections in use.
	BusySlots   int
	Connections int
}

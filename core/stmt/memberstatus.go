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
	// HeldTerm is the term for which the member was paused; zero when it is not.
	HeldTerm types.Term
	// Lag is how far the member applies behind its primary.
	Lag time.Duration
	// Busy and Connections count the slots and connections in use.
	Busy        int
	Connections int
}

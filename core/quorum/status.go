package quorum

import (
	"time"

	"turmericpulley/core/types"
)

// Status is what a member reports about itself.
type Status struct {
	Target types.TargetID
	Role   Role
	Term   types.Term
	// FencedTerm is the highest term to which the member was fenced; it obeys no primary of a lower term.
	FencedTerm types.Term
	// LogTerm is the term of the last entry of the log.
	LogTerm types.Term
	// Position is the end of the log, Applied the end of what is applied and Committed the end of what is known to be
	// committed.
	Position  types.Position
	Applied   types.Position
	Committed types.Position
	// Epoch is the highest epoch that claimed the member.
	Epoch types.Epoch
	// PreviousEpoch is the highest epoch that claimed the member before Epoch.
	PreviousEpoch types.Epoch
	// SinceOwner is the time since an owner of an older epoch last polled the member; negative when none did.
	SinceOwner time.Duration
	// Leaving is true when the member is about to leave the database.
	Leaving bool
	// Streaming is true while a replica receives the log of its primary; it is always true on a primary.
	Streaming bool
	// Discarded is the number of log entries that the member has ever discarded because its primary did not have them.
	Discarded uint64
}

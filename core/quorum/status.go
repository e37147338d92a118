package quorum

import (
	"time"

	"turmericpulley/core/types"
)

// Status is what a member reports about itself.
type Status struct {
	Target     types.TargetID
	Role       Role
	Term       types.Term
	FencedTerm types.Term
	LogTerm    types.Term
	Position   types.Position
	Applied    types.Position
	Committed  types.Position
	Epoch      types.Epoch
	// PreviousEpoch is the highest epoch that claimed the member before Epoch.
	PreviousEpoch types.Epoch
	// SinceOwner is the time since an owner of an older epoch last polled the member; negative when none did.
	SinceOwner time.Duration
	Leaving    bool
	Streaming  bool
	Discarded  uint64
}

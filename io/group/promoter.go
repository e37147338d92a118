package group

import (
	"context"

	"turmericpulley/core/hold"
	"turmericpulley/core/types"
)

// PromoteOutcome says what is known of a call to promote.
type PromoteOutcome int

const (
	// PromoteAccepted says that the promotion takes effect shortly.
	PromoteAccepted PromoteOutcome = iota + 1
	// PromoteRefused says that the member cannot be promoted.
	PromoteRefused
	// PromoteNotDone says that nothing was done.
	PromoteNotDone
	// PromoteUnknown says that the call may take effect.
	PromoteUnknown
)

// Promoter asks for a member to be made primary.
type Promoter interface {
	Promote(ctx context.Context, database types.DatabaseID, target types.TargetID, token types.Epoch) (PromoteOutcome, error)
}

// Ownership is the owner's right to the database, kept in the store.
type Ownership interface {
	// Lease is the right to work.
	Lease() *hold.Lease
	// MayPromote reports whether no earlier owner can still work; it asks the earlier owner, or waits for its end.
	MayPromote(ctx context.Context) bool
	// RecordPromotion records in the store that the member is about to be promoted, and returns the token of the promotion.
	RecordPromotion(ctx context.Context, promotion hold.Promotion) (types.Epoch, error)
	// RecordedPromotion returns the last promotion that an owner recorded, or nil.
	RecordedPromotion() *hold.Promotion
}

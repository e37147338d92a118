package group

import (
	"context"
	"time"

	"turmericpulley/core/hold"
	"turmericpulley/core/types"
)

// PromoteOutcome is what is known of the effect of a promotion call.
type PromoteOutcome int

const (
	// PromoteAccepted means that the promotion takes effect shortly.
	PromoteAccepted PromoteOutcome = iota + 1
	// PromoteRefused means that the member cannot be promoted.
	PromoteRefused
	// PromoteNotDone means that the call had no effect.
	PromoteNotDone
	// PromoteUnknown means that the call may take effect or not.
	PromoteUnknown
)

// Promoter asks the platform to make a member the primary.
type Promoter interface {
	// Promote asks for the promotion; the token is the fencing token that RecordPromotion returned.
	Promote(ctx context.Context, database types.DatabaseID, target types.TargetID, token types.Epoch) (PromoteOutcome, error)
}

// Ownership is this instance's ownership of the database, as recorded in the store.
type Ownership interface {
	// Lease returns the lease under which this instance may serve the database.
	Lease() *hold.Lease
	// MayPromote reports whether no standby and no earlier owner can still serve the database. It asks those whose leases may
	// still be valid to stop. With letEnd, former owners let their open transactions end first.
	MayPromote(ctx context.Context, letEnd bool) bool
	// RecordPromotion records in the store that the member is about to be promoted, and returns the fencing token of the
	// promotion.
	RecordPromotion(ctx context.Context, promotion hold.Promotion) (types.Epoch, error)
	// VoidPromotion replaces the recorded promotion by one that says that it had no effect.
	VoidPromotion(ctx context.Context, promotion hold.Promotion) error
	// UnknownPromotions returns for how long a promotion may still take effect that the record does not list; zero when it lists all.
	UnknownPromotions() time.Duration
	// RecordedPromotion returns the last promotion that an owner recorded, or nil.
	RecordedPromotion() *hold.Promotion
}

package owner

import (
	"time"

	"turmericpulley/core/types"
)

// Handover is the end of an ownership whose owner has stopped.
type Handover struct {
	// Epoch is that of the owner who stopped.
	Epoch types.Epoch
	// LeaseExpiry is the end of its lease; before it no owner of a later epoch can have started to serve without a handover.
	LeaseExpiry time.Time
}

// valid reports whether a new owner may serve without waiting for a lease: the owner that stopped was the last one at all
// the members that were claimed, and its lease is not over.
func (h Handover) valid(now time.Time, lastBefore types.Epoch) bool {
	return now.Before(h.LeaseExpiry) && lastBefore <= h.Epoch
}

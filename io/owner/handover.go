package owner

import (
	"time"

	"turmericpulley/core/types"
)

// Handover tells the next owner that an owner has stopped serving before the end of its lease.
type Handover struct {
	// Epoch is the epoch of the owner that stopped.
	Epoch types.Epoch
	// LeaseExpiry is the end of its lease; an owner of a later epoch can serve before it only by a handover.
	LeaseExpiry time.Time
}

// valid reports whether a new owner may serve without waiting for the end of the lease. This holds when no member claimed
// had a later owner than the one that stopped (previousEpoch is the highest that they reported) and the lease is not over.
func (h Handover) valid(now time.Time, previousEpoch types.Epoch) bool {
	return now.Before(h.LeaseExpiry) && previousEpoch <= h.Epoch
}

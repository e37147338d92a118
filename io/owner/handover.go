package owner

import (
	"time"

	"turmericpulley/core/types"
)

// Handover informs the next owner that an owner has stopped serving before the end of its lease.
type Handover struct {
	// Epoch is the epoch of the owner that stopped.
	Epoch types.Epoch
	// LeaseExpiry is the end of its lease. An owner of a later epoch may serve earlier only with this handover.
	LeaseExpiry time.Time
}

// valid reports whether a new owner may serve without waiting for the end of the lease. It may if the lease is not over and no
// claimed member had a later owner than the one that stopped. previousEpoch is the highest previous epoch that the claimed
// members reported.
func (h Handover) valid(now time.Time, previousEpoch types.Epoch) bool {
	return now.Before(h.LeaseExpiry) && previousEpoch <= h.Epoch
}

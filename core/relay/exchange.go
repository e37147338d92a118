package relay

import (
	"time"

	"turmericpulley/core/types"
)

// HeartbeatResponse is a heartbeat that was answered.
type HeartbeatResponse struct {
	// Peer is who answered.
	Peer types.InstanceID
	// SentAt is when the heartbeat was sent; the answer is at least as recent.
	SentAt time.Time
	// Status is the answer.
	Status PeerStatus
}

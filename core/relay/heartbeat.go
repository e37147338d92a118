package relay

import (
	"time"

	"turmericpulley/core/types"
)

// HeartbeatResponse is the answer of another instance to a heartbeat.
type HeartbeatResponse struct {
	// Peer is the instance that answered.
	Peer types.InstanceID
	// SentAt is when the heartbeat was sent; Status is at least as recent.
	SentAt time.Time
	// Status is what the peer reported.
	Status PeerStatus
}

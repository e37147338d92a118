package relay

import (
	"time"

	"turmericpulley/core/types"
)

// Exchange is a heartbeat that was answered.
type Exchange struct {
	// Peer is who answered.
	Peer types.InstanceID
	// Sent is when the heartbeat was sent; the answer is at least as recent.
	Sent time.Time
	// Standing is the answer.
	Standing Standing
}

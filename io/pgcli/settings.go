package pgcli

import (
	"time"

	"turmericpulley/core/types"
)

// Settings says how to reach a target and as whom.
type Settings struct {
	Address  string
	Database types.DatabaseID
	// Epoch is that of the owner who connects; zero connects as a plain caller.
	Epoch types.Epoch
	// Timeout bounds connecting and starting up.
	Timeout time.Duration
}

const (
	userName          = "turmericpulley"
	epochParameter    = "pulley.epoch"
	positionParameter = "pulley.position"

	// unacknowledgedTimeout bounds how long the kernel keeps unacknowledged data before it ends the connection.
	unacknowledgedTimeout = 2 * time.Second
	keepAliveInterval     = time.Second
	keepAliveProbes       = 2
	readBufferBytes       = 16 << 10
	maxMessageBytes       = 16 << 20
)

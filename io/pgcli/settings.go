package pgcli

import (
	"time"

	"turmericpulley/core/types"
)

// Settings configures a connection to a target.
type Settings struct {
	Address  string
	Database types.DatabaseID
	// Epoch is the epoch of the owner that connects; zero means an ordinary client without one.
	Epoch types.Epoch
	// Timeout bounds the connection attempt and the start-up.
	Timeout time.Duration
}

const (
	userName          = "turmericpulley"
	epochParameter    = "pulley.epoch"
	positionParameter = "pulley.position"

	// unacknowledgedTimeout is how long sent data may stay unacknowledged before the kernel ends the connection.
	unacknowledgedTimeout = 2 * time.Second
	keepAliveInterval     = time.Second
	keepAliveProbes       = 2
	readBufferBytes       = 16 << 10
	maxMessageBytes       = 16 << 20
)

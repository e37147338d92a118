package pgsrv

import (
	"time"

	"turmericpulley/io/wire"
)

// Stream carries the frames of one transaction. Send and Receive may be called concurrently.
type Stream interface {
	// Send sends a frame, which the stream may retain. It returns io.ErrClosedPipe only when the owner has
	// certainly not received the frame.
	Send(*wire.Frame) error
	// Receive returns the next frame from the owner.
	Receive() (*wire.Frame, error)
	// SetDeadline sets the deadline of current and later calls of Send and Receive.
	SetDeadline(time.Time) error
	// Close ends the transaction; the owner rolls back what it has not committed.
	Close() error
}

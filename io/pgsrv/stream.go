package pgsrv

import (
	"time"

	"turmericpulley/io/wire"
)

// Stream carries the frames of one transaction; Send and Receive may be called from two goroutines at once.
type Stream interface {
	// Send sends a frame; the stream may keep it. io.ErrClosedPipe means that the owner surely did not receive it.
	Send(*wire.Frame) error
	// Receive returns the next frame of the owner.
	Receive() (*wire.Frame, error)
	// SetDeadline bounds the calls of Send and Receive, those that are waiting included.
	SetDeadline(time.Time) error
	// Close ends the transaction; the owner rolls back what it has not committed.
	Close() error
}

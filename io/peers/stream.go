package peers

import (
	"time"

	"turmericpulley/io/wire"
)

// Stream carries the frames of one transaction between the caller's instance and the owner.
type Stream interface {
	// Send sends a frame; the caller must not change it afterwards.
	Send(frame *wire.Frame) error
	// Receive waits for the next frame. It returns io.EOF when the other end closed the stream.
	Receive() (*wire.Frame, error)
	// SetDeadline bounds Send and Receive, including calls that already wait.
	SetDeadline(deadline time.Time) error
	// Close closes the stream; frames that were sent before still arrive.
	Close() error
}

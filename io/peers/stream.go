package peers

import (
	"time"

	"turmericpulley/io/wire"
)

// Stream carries the frames of one transaction between the caller's instance and the owner.
type Stream interface {
	// Send passes a frame on; the caller must not change it afterwards.
	Send(frame *wire.Frame) error
	// Receive waits for the next frame; it returns io.EOF when the other end closed the stream.
	Receive() (*wire.Frame, error)
	// SetDeadline bounds Send and Receive, those that already wait included.
	SetDeadline(deadline time.Time) error
	// Close ends the stream; frames that were sent before still arrive.
	Close() error
}

package owner

import "turmericpulley/io/wire"

// Stream carries the frames of one transaction between the caller's instance and the owner.
type Stream interface {
	// Send writes one frame.
	Send(frame *wire.Frame) error
	// Receive returns the next frame, whose payload is valid until the next call.
	Receive() (*wire.Frame, error)
	// Close ends the stream.
	Close() error
}

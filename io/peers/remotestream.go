package peers

import (
	"io"
	"net"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/fault"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

// remoteStream is a Stream to another instance, over a stream of the session with it.
type remoteStream struct {
	conn      net.Conn
	codec     *codec
	requestID types.RequestID
	// closeSession closes the session that the stream belongs to; it is called on a protocol violation.
	closeSession func()
}

// Send sends the frame to the other instance.
func (s *remoteStream) Send(frame *wire.Frame) error {
	if err := s.checkFrame(frame); err != nil {
		return err
	}
	return s.codec.write(frame)
}

// Receive waits for the next frame from the other instance.
func (s *remoteStream) Receive() (*wire.Frame, error) {
	frame := &wire.Frame{}
	err := s.codec.read(frame)
	switch {
	case errors.Is(err, io.EOF):
		return nil, io.EOF
	case err != nil:
		if f := fault.From(err); f != nil && f.Kind == fault.ProtocolViolation {
			s.closeSession()
		}
		return nil, err
	}
	if err := s.checkFrame(frame); err != nil {
		return nil, err
	}
	return frame, nil
}

// SetDeadline bounds Send and Receive.
func (s *remoteStream) SetDeadline(deadline time.Time) error {
	return errors.Wrap(s.conn.SetDeadline(deadline), "setting a deadline")
}

// Close closes the stream.
func (s *remoteStream) Close() error { return errors.Wrap(s.conn.Close(), "closing a stream") }

// checkFrame closes the stream when the frame carries the id of another request.
func (s *remoteStream) checkFrame(frame *wire.Frame) error {
	if err := checkRequestID(frame, s.requestID, s.codec.counters); err != nil {
		closeQuietly(s.conn)
		return err
	}
	return nil
}

func checkRequestID(frame *wire.Frame, expected types.RequestID, counters *Counters) error {
	if types.RequestID(frame.GetRequestId()) == expected {
		return nil
	}
	counters.RequestMismatches.Add(1)
	return fault.New(fault.ProtocolViolation, "a frame carries the id of another request")
}

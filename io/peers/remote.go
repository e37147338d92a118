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

// remoteStream is a stream to another instance.
type remoteStream struct {
	conn      net.Conn
	codec     *codec
	requestID types.RequestID
	// closeSession closes the session that the stream belongs to.
	closeSession func()
}

// Send writes the frame to the other instance.
func (r *remoteStream) Send(frame *wire.Frame) error {
	if err := r.checkFrame(frame); err != nil {
		return err
	}
	return r.codec.write(frame)
}

// Receive reads the next frame from the other instance.
func (r *remoteStream) Receive() (*wire.Frame, error) {
	frame := &wire.Frame{}
	err := r.codec.read(frame)
	switch {
	case errors.Is(err, io.EOF):
		return nil, io.EOF
	case err != nil:
		if f := fault.From(err); f != nil && f.Kind == fault.ProtocolViolation {
			r.closeSession()
		}
		return nil, err
	}
	if err := r.checkFrame(frame); err != nil {
		return nil, err
	}
	return frame, nil
}

// SetDeadline bounds reads and writes.
func (r *remoteStream) SetDeadline(deadline time.Time) error {
	return errors.Wrap(r.conn.SetDeadline(deadline), "setting a deadline")
}

// Close ends the stream.
func (r *remoteStream) Close() error { return errors.Wrap(r.conn.Close(), "closing a stream") }

// checkFrame refuses a frame of another request and ends the stream.
func (r *remoteStream) checkFrame(frame *wire.Frame) error {
	if err := checkRequestID(frame, r.requestID, r.codec.counters); err != nil {
		closeQuietly(r.conn)
		return err
	}
	return nil
}

func checkRequestID(frame *wire.Frame, wanted types.RequestID, counters *Counters) error {
	if types.RequestID(frame.GetRequestId()) == wanted {
		return nil
	}
	counters.RequestMismatches.Add(1)
	return fault.New(fault.ProtocolViolation, "a frame carries the id of another request")
}

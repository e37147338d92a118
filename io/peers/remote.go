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

// remote is a stream to another instance.
type remote struct {
	conn      net.Conn
	codec     *codec
	requestID types.RequestID
	// abort closes the session that the stream belongs to.
	abort func()
}

// Send writes the frame to the other instance.
func (r *remote) Send(frame *wire.Frame) error {
	if err := r.check(frame); err != nil {
		return err
	}
	return r.codec.write(frame)
}

// Receive reads the next frame from the other instance.
func (r *remote) Receive() (*wire.Frame, error) {
	frame := &wire.Frame{}
	err := r.codec.read(frame)
	switch {
	case errors.Is(err, io.EOF):
		return nil, io.EOF
	case err != nil:
		if f := fault.From(err); f != nil && f.Kind == fault.ProtocolViolation {
			r.abort()
		}
		return nil, err
	}
	if err := r.check(frame); err != nil {
		return nil, err
	}
	return frame, nil
}

// SetDeadline bounds reads and writes.
func (r *remote) SetDeadline(deadline time.Time) error {
	return errors.Wrap(r.conn.SetDeadline(deadline), "setting a deadline")
}

// Close ends the stream.
func (r *remote) Close() error { return errors.Wrap(r.conn.Close(), "closing a stream") }

// check refuses a frame of another request and ends the stream.
func (r *remote) check(frame *wire.Frame) error {
	if err := checkRequest(frame, r.requestID, r.codec.counters); err != nil {
		closeQuietly(r.conn)
		return err
	}
	return nil
}

func checkRequest(frame *wire.Frame, wanted types.RequestID, counters *Counters) error {
	if types.RequestID(frame.GetRequestId()) == wanted {
		return nil
	}
	counters.RequestMismatches.Add(1)
	return fault.New(fault.ProtocolViolation, "a frame carries the id of another request")
}

package peers

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/fault"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

// openTimeout bounds the opening of a transaction when the context has no deadline.
const openTimeout = time.Second

// Open starts a transaction at another instance. A fault of kind fault.NoOwner means that nothing ran: at most the
// Begin message has arrived, and an owner runs nothing before the first frame.
func (s *Service) Open(ctx context.Context, id types.InstanceID, begin *wire.Begin) (Stream, error) {
	address, found := s.node.address(id)
	if !found {
		return nil, fault.New(fault.NoOwner, "instance "+string(id)+" is not a member")
	}
	opened, err := s.node.openTransaction(ctx, address, begin)
	if err != nil {
		return nil, fault.New(fault.NoOwner, "instance "+string(id)+" cannot be reached: "+err.Error())
	}
	s.node.counters.StreamsOpened.Add(1)
	return opened, nil
}

func (n *node) openTransaction(ctx context.Context, address string, begin *wire.Begin) (*remoteStream, error) {
	stream, session, err := n.sessions.openStream(ctx, address)
	if err != nil {
		return nil, err
	}
	opened := &remoteStream{
		conn:         stream,
		codec:        newCodec(stream, n.counters),
		requestID:    types.RequestID(begin.GetRequestId()),
		closeSession: func() { closeQuietly(session) },
	}
	if err = opened.sendBegin(deadlineOf(ctx, openTimeout), begin); err != nil {
		closeQuietly(stream)
		return nil, err
	}
	return opened, nil
}

// sendBegin sends the first message within the deadline, which it removes afterwards.
func (s *remoteStream) sendBegin(deadline time.Time, begin *wire.Begin) error {
	if err := s.conn.SetWriteDeadline(deadline); err != nil {
		return errors.Wrap(err, "setting a deadline")
	}
	if err := s.codec.write(&wire.Request{Kind: &wire.Request_Begin{Begin: begin}}); err != nil {
		return err
	}
	return errors.Wrap(s.conn.SetWriteDeadline(time.Time{}), "removing a deadline")
}

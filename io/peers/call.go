package peers

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/fault"
	"turmericpulley/io/wire"
)

// callTimeout bounds a call to another instance when the context has no deadline.
const callTimeout = time.Second

// call sends a request to the instance at the address and waits for its reply.
func (n *node) call(ctx context.Context, address string, request *wire.Request) (*wire.Reply, error) {
	stream, _, err := n.sessions.openStream(ctx, address)
	if err != nil {
		return nil, err
	}
	defer closeQuietly(stream)
	if err := stream.SetDeadline(deadlineOf(ctx, callTimeout)); err != nil {
		return nil, errors.Wrap(err, "setting a deadline")
	}
	stop := context.AfterFunc(ctx, func() { closeQuietly(stream) })
	defer stop()
	return exchange(newCodec(stream, n.counters), request)
}

// exchange writes a request and reads its reply; a refusal is returned as a fault.
func exchange(c *codec, request *wire.Request) (*wire.Reply, error) {
	if err := c.write(request); err != nil {
		return nil, err
	}
	reply := &wire.Reply{}
	if err := c.read(reply); err != nil {
		return nil, err
	}
	if refusal := reply.GetRefusal(); refusal != nil {
		return nil, fault.New(fault.Kind(refusal.GetKind()), refusal.GetDetail())
	}
	return reply, nil
}

// deadlineOf returns the deadline of the context, or the current time plus the timeout when it has none.
func deadlineOf(ctx context.Context, timeout time.Duration) time.Time {
	if deadline, set := ctx.Deadline(); set {
		return deadline
	}
	return time.Now().Add(timeout)
}

func heartbeatRequest(heartbeat *wire.Heartbeat) *wire.Request {
	return &wire.Request{Kind: &wire.Request_Heartbeat{Heartbeat: heartbeat}}
}

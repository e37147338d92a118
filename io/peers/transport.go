package peers

import (
	"context"
	"net"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"
)

// Channel is a stream of messages to or from another instance; messages in each direction are used by one goroutine.
type Channel struct {
	*codec
}

// Send writes a message.
func (c *Channel) Send(message proto.Message) error { return c.write(message) }

// Receive waits for the next message; io.EOF means that the other end closed properly.
func (c *Channel) Receive(message proto.Message) error { return c.read(message) }

// Conn returns the underlying stream, for deadlines and for closing.
func (c *Channel) Conn() net.Conn { return c.conn }

// Close ends the channel.
func (c *Channel) Close() { closeQuietly(c.conn) }

// Transport carries channels between instances over standing sessions, without a membership of its own.
type Transport struct {
	counters       *Counters
	sessionMonitor *sessionMonitor
	sessions       *sessionPool
	listener       *listener
}

// NewTransport serves the channels that other instances open until Close; the channel is closed when serve returns.
func NewTransport(accepting net.Listener, serve func(*Channel)) *Transport {
	t := &Transport{counters: &Counters{}}
	t.sessionMonitor = newSessionMonitor(t.counters)
	t.sessions = newSessionPool(func(address string) string { return address }, t.counters, t.sessionMonitor)
	t.listener = newListener(accepting, t.counters, t.sessionMonitor, func(_ *session, stream *yamux.Stream) {
		serve(&Channel{newCodec(stream, t.counters)})
	})
	return t
}

// Open opens a channel to the instance at the address.
func (t *Transport) Open(ctx context.Context, address string) (*Channel, error) {
	stream, _, err := t.sessions.openStream(ctx, address)
	if err != nil {
		return nil, err
	}
	return &Channel{newCodec(stream, t.counters)}, nil
}

// Counters returns what the transport counts.
func (t *Transport) Counters() *Counters { return t.counters }

// Close ends all channels and waits for those that are served.
func (t *Transport) Close() {
	t.sessions.close()
	t.listener.close()
	t.sessionMonitor.close()
}

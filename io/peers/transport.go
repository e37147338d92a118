package peers

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"
)

// Channel is a stream of messages between two instances. One goroutine may send while another receives.
type Channel struct {
	*codec
	session *session
	// retire keeps the session from being used for new channels.
	retire func()
}

// Send sends a message.
func (c *Channel) Send(message proto.Message) error { return c.write(message) }

// Receive waits for the next message. It returns io.EOF when the other end closed the channel between two messages.
func (c *Channel) Receive(message proto.Message) error { return c.read(message) }

// ReceiveWithin is Receive, but returns ErrNoRoom for a message of more than 64 KiB for which room reports that there is none.
func (c *Channel) ReceiveWithin(message proto.Message, room func(size int) bool) error {
	return c.readWithin(message, room)
}

// ReceivePatiently is Receive, but the deadline counts for the begin of the message only. The rest of a large one may take the patience for
// each further part: how long it takes depends on its size and the link.
func (c *Channel) ReceivePatiently(message proto.Message, patience time.Duration) error {
	c.patience = patience
	defer func() { c.patience = 0 }()
	return c.read(message)
}

// Conn returns the underlying stream, on which deadlines can be set and which can be closed.
func (c *Channel) Conn() net.Conn { return c.conn }

// IsResponsive reports whether anything has arrived over the channel's connection since the given time, or a ping over it is answered
// within the timeout.
func (c *Channel) IsResponsive(since time.Time, timeout time.Duration) bool {
	return c.session.conn.lastReceivedAt().After(since) || c.session.responds(context.Background(), timeout)
}

// Retire makes new channels to the same instance use a new connection. The present one stays open until its channels have ended or
// it has been unresponsive for long, so that an answer may still arrive late.
func (c *Channel) Retire() { c.retire() }

// Close closes the channel.
func (c *Channel) Close() { closeQuietly(c.conn) }

// Transport opens channels to other instances and serves those that they open. All channels to an address share one
// session. Unlike a Service it has no membership.
type Transport struct {
	counters       *Counters
	sessionMonitor *sessionMonitor
	sessions       *sessionPool
	listener       *listener
}

// NewTransport starts a transport that calls serve for each channel that another instance opens, until Close. A channel
// is closed when serve returns.
func NewTransport(netListener net.Listener, serve func(*Channel)) *Transport {
	t := &Transport{counters: &Counters{}}
	t.sessionMonitor = newSessionMonitor(t.counters)
	t.sessions = newSessionPool(func(address string) string { return address }, t.counters, t.sessionMonitor)
	t.listener = newListener(netListener, t.counters, t.sessionMonitor, func(s *session, stream *yamux.Stream) {
		serve(&Channel{newCodec(stream, t.counters), s, func() {}})
	})
	return t
}

// Open opens a channel to the instance at the address.
func (t *Transport) Open(ctx context.Context, address string) (*Channel, error) {
	stream, used, err := t.sessions.openStream(ctx, address)
	if err != nil {
		return nil, err
	}
	return &Channel{newCodec(stream, t.counters), used, func() { t.sessions.retire(address, used) }}, nil
}

// Counters returns the counters of the transport.
func (t *Transport) Counters() *Counters { return t.counters }

// Close closes the channels that other instances opened and waits until serve has returned for each. Channels to other
// instances stay open until these close them.
func (t *Transport) Close() {
	t.sessions.close()
	t.listener.close()
	t.sessionMonitor.close()
}

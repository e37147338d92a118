package peers_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/peers"
	"turmericpulley/io/wire"
)

// newTransports returns a transport and the address of another one, which answers each call with an empty reply.
func newTransports(t *testing.T) (client *peers.Transport, address string, accepted *atomic.Int64) {
	t.Helper()
	listeners := make([]net.Listener, 2)
	for i := range listeners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners[i] = l
	}
	counting := &countingListener{Listener: listeners[1]}
	server := peers.NewTransport(counting, func(c *peers.Channel) {
		for c.Receive(&wire.Call{}) == nil {
			if c.Send(&wire.CallReply{}) != nil {
				return
			}
		}
	})
	client = peers.NewTransport(listeners[0], func(*peers.Channel) {})
	t.Cleanup(func() {
		server.Close()
		client.Close()
	})
	return client, listeners[1].Addr().String(), &counting.accepted
}

// countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

func exchange(t *testing.T, c *peers.Channel) {
	t.Helper()
	require.NoError(t, c.Conn().SetDeadline(time.Now().Add(eventuallyTimeout)))
	require.NoError(t, c.Send(&wire.Call{}))
	require.NoError(t, c.Receive(&wire.CallReply{}))
}

func TestRetiredSessionServesItsChannelsUntilTheyEnd(t *testing.T) {
	client, address, accepted := newTransports(t)
	first, err := client.Open(t.Context(), address)
	require.NoError(t, err)
	exchange(t, first)
	first.Retire()
	second, err := client.Open(t.Context(), address)
	require.NoError(t, err)
	exchange(t, second)
	require.EqualValues(t, 2, accepted.Load())
	exchange(t, first)
	first.Close()
	second.Close()
}

func TestMessageOnAnEndedChannelIsNotSent(t *testing.T) {
	client, address, _ := newTransports(t)
	ended, err := client.Open(t.Context(), address)
	require.NoError(t, err)
	exchange(t, ended)
	ended.Close()
	require.ErrorIs(t, ended.Send(&wire.Call{}), peers.ErrNotSent)
}

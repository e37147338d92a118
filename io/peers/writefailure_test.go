package peers_test

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/peers"
	"turmericpulley/io/wire"
)

// readDelay is how long a faulty connection delays the failure of its reads, so that its writes fail first.
const readDelay = 300 * time.Millisecond

// faultyListener accepts connections whose writes can be made to fail before their reads do.
type faultyListener struct {
	net.Listener
	failing atomic.Bool
}

func (l *faultyListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	return &faultyConn{Conn: accepted, failing: &l.failing}, err
}

type faultyConn struct {
	net.Conn
	failing *atomic.Bool
}

func (c *faultyConn) Write(data []byte) (int, error) {
	if c.failing.Load() {
		return 0, os.ErrClosed
	}
	return c.Conn.Write(data)
}

func (c *faultyConn) Read(data []byte) (int, error) {
	received, err := c.Conn.Read(data)
	if err != nil && c.failing.Load() {
		time.Sleep(readDelay)
	}
	return received, err
}

// TestReadersDoNotSpinWhenAWriteFails guards against readers of streams that spin after a failed write on their
// session, until the reading side of the session has failed as well. A randomised test of nine instances showed it.
func TestReadersDoNotSpinWhenAWriteFails(t *testing.T) {
	const streams = 50
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	faulty := &faultyListener{Listener: listener}
	var started, ended sync.WaitGroup
	started.Add(streams)
	ended.Add(streams)
	received := make(chan *peers.Channel, streams)
	server := peers.NewTransport(faulty, func(c *peers.Channel) {
		defer ended.Done()
		call := &wire.Call{}
		require.NoError(t, c.Receive(call))
		received <- c
		started.Done()
		_ = c.Receive(call)
	})
	defer server.Close()
	clientListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	client := peers.NewTransport(clientListener, func(*peers.Channel) {})
	defer client.Close()
	for range streams {
		channel, err := client.Open(context.Background(), listener.Addr().String())
		require.NoError(t, err)
		defer channel.Close()
		require.NoError(t, channel.Send(&wire.Call{}))
	}
	started.Wait()
	before := cpuTime(t)
	faulty.failing.Store(true)
	_ = (<-received).Send(&wire.CallReply{})
	ended.Wait()
	require.Less(t, cpuTime(t)-before, readDelay/4)
}

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

// readDelay is how much later than the writing side the reading side of a faulty connection fails.
const readDelay = 300 * time.Millisecond

// faultyListener accepts connections whose writes fail on demand before their reads do.
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

// TestReadersDoNotSpinWhenAWriteFails lets a write fail on a session on which many streams wait: their readers used to
// spin until the reading side had failed as well (hunt, trouble-3 at Sencnik with seed 141206266032).
func TestReadersDoNotSpinWhenAWriteFails(t *testing.T) {
	const streams = 50
	accepting, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	faulty := &faultyListener{Listener: accepting}
	var started, ended sync.WaitGroup
	started.Add(streams)
	ended.Add(streams)
	last := make(chan *peers.Channel, streams)
	server := peers.NewTransport(faulty, func(c *peers.Channel) {
		defer ended.Done()
		call := &wire.Call{}
		require.NoError(t, c.Receive(call))
		last <- c
		started.Done()
		_ = c.Receive(call)
	})
	defer server.Close()
	own, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	client := peers.NewTransport(own, func(*peers.Channel) {})
	defer client.Close()
	for range streams {
		channel, err := client.Open(context.Background(), accepting.Addr().String())
		require.NoError(t, err)
		defer channel.Close()
		require.NoError(t, channel.Send(&wire.Call{}))
	}
	started.Wait()
	before := cpuTime(t)
	faulty.failing.Store(true)
	_ = (<-last).Send(&wire.CallReply{})
	ended.Wait()
	require.Less(t, cpuTime(t)-before, readDelay/4)
}

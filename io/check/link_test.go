package check_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/check"
)

const (
	noEchoTimeout = 150 * time.Millisecond
	echoTimeout   = 5 * time.Second
)

// startEchoServer starts a server that sends back what it receives and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				_, _ = io.Copy(connection, connection)
			}()
		}
	}()
	return listener.Addr().String()
}

func dial(t *testing.T, link *check.Link) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", link.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// echoesWithin reports whether one byte is echoed within the timeout.
func echoesWithin(t *testing.T, connection net.Conn, timeout time.Duration) bool {
	t.Helper()
	if _, err := connection.Write([]byte{1}); err != nil {
		return false
	}
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(timeout)))
	_, err := connection.Read(make([]byte, 1))
	return err == nil
}

func TestLinkBlackholeDoesNotAffectNewConnections(t *testing.T) {
	link := check.NewLink(t, "echo", startEchoServer(t))
	open := dial(t, link)
	require.True(t, echoesWithin(t, open, echoTimeout))
	link.BlackholeOpenConns()
	require.False(t, echoesWithin(t, open, noEchoTimeout))
	require.True(t, echoesWithin(t, dial(t, link), echoTimeout))
}

func TestLinkCutAffectsNewConnectionsUntilHeal(t *testing.T) {
	for _, direction := range []check.Direction{check.Upstream, check.Downstream} {
		link := check.NewLink(t, "echo", startEchoServer(t))
		open := dial(t, link)
		require.True(t, echoesWithin(t, open, echoTimeout))
		link.Cut(direction)
		require.False(t, echoesWithin(t, open, noEchoTimeout))
		require.False(t, echoesWithin(t, dial(t, link), noEchoTimeout))
		link.Heal()
		require.True(t, echoesWithin(t, dial(t, link), echoTimeout))
	}
}

func TestLinkDelayAppliesToBothDirectionsAndStaysAfterHeal(t *testing.T) {
	const delay = 20 * time.Millisecond
	link := check.NewLink(t, "echo", startEchoServer(t))
	link.Delay(delay)
	for range 2 {
		open := dial(t, link)
		start := time.Now()
		require.True(t, echoesWithin(t, open, echoTimeout))
		require.GreaterOrEqual(t, time.Since(start), 2*delay)
		link.CutBoth()
		link.Heal()
	}
}

func TestLinkResetClosesOpenConnections(t *testing.T) {
	link := check.NewLink(t, "echo", startEchoServer(t))
	open := dial(t, link)
	require.True(t, echoesWithin(t, open, echoTimeout))
	link.Reset()
	require.False(t, echoesWithin(t, open, echoTimeout))
}

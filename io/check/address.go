package check

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// loopback is the IP number that every process of a test listens on.
const loopback = "127.0.0.1"

// newAddresses returns addresses with ports that were free a moment ago, all different.
func newAddresses(tb testing.TB, count int) []string {
	tb.Helper()
	addresses := make([]string, 0, count)
	listeners := make([]net.Listener, 0, count)
	for range count {
		listener, err := net.Listen("tcp", net.JoinHostPort(loopback, "0"))
		require.NoError(tb, err)
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	for _, listener := range listeners {
		require.NoError(tb, listener.Close())
	}
	return addresses
}

// listening reports whether the address accepts connections.
func listening(address string) bool {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}

package check

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"
)

// loopback is the IP number that every process of a test listens on.
const loopback = "127.0.0.1"

// lowestPort and highestPort lie below the ports that systems give to outgoing connections, which could take a
// reserved port before its process listens.
const (
	lowestPort  = 11_000
	highestPort = 31_000
)

// reservedAddresses remembers the ports given out, so that processes that have not started yet keep theirs.
var reservedAddresses sync.Map

// NewAddresses returns loopback addresses whose ports are free and will not be given to outgoing connections.
func NewAddresses(tb testing.TB, count int) []string {
	tb.Helper()
	addresses := make([]string, 0, count)
	for len(addresses) < count {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		address := net.JoinHostPort(loopback, strconv.Itoa(port))
		if reserve(address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// reserve reports whether the address can be listened on and was not given out before.
func reserve(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	_, taken := reservedAddresses.LoadOrStore(address, true)
	return !taken
}

// acceptsConnections reports whether the address accepts connections.
func acceptsConnections(address string) bool {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}

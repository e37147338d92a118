package check

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"
)

// loopback is the IP address that every process of a test listens on.
const loopback = "127.0.0.1"

// lowestPort and highestPort bound the ports of processes. They lie below the ephemeral ports, which operating systems give to
// outgoing connections: such a connection could take a reserved port before its process listens on it.
const (
	lowestPort  = 11_000
	highestPort = 31_000
)

// reservedAddresses holds the addresses already returned, so that one whose process has not started yet is not returned again.
var reservedAddresses sync.Map

// NewAddresses returns loopback addresses with free ports outside the ephemeral range. It reserves them until this test process
// ends.
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

// reserve reports whether the address is free and not yet reserved, and reserves it.
func reserve(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	_, alreadyReserved := reservedAddresses.LoadOrStore(address, true)
	return !alreadyReserved
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

package check

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// loopback is the IP address that every process of a test listens on.
const loopback = "127.0.0.1"

// lowestPort and highestPort bound the ports of processes. They lie below the ephemeral ports, which operating systems give to
// outgoing connections: such a connection could take a reserved port before its process listens on it.
const (
	lowestPort  = 11_000
	highestPort = 31_000
	// blockSize is the number of ports that a test process reserves at once.
	blockSize = 100
)

// portBlock is a block of consecutive ports. The test process that listens on the first one owns all of them, so that no other test
// process, which may run at the same time, takes one whose own process has not started yet.
type portBlock struct {
	next int
	end  int
}

var (
	blockMutex sync.Mutex
	// block is the block from which addresses are taken.
	block portBlock
	// guards listen on the first ports of all blocks of this test process until it ends.
	guards []net.Listener
)

// NewAddresses returns loopback addresses with free ports outside the ephemeral range. It reserves them until this test process
// ends.
func NewAddresses(tb testing.TB, count int) []string {
	tb.Helper()
	blockMutex.Lock()
	defer blockMutex.Unlock()
	addresses := make([]string, 0, count)
	for len(addresses) < count {
		if block.next == block.end {
			block = newPortBlock(tb)
		}
		address := portAddress(block.next)
		block.next++
		if isFree(address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// newPortBlock takes a block that no test process owns. It fails the test when there is none.
func newPortBlock(tb testing.TB) portBlock {
	tb.Helper()
	const blocks = (highestPort - lowestPort) / blockSize
	first := rand.IntN(blocks)
	for i := range blocks {
		start := lowestPort + (first+i)%blocks*blockSize
		if guard, err := net.Listen("tcp", portAddress(start)); err == nil {
			guards = append(guards, guard)
			return portBlock{next: start + 1, end: start + blockSize}
		}
	}
	require.FailNow(tb, "all blocks of ports are in use; end other test processes")
	return portBlock{}
}

func portAddress(port int) string { return net.JoinHostPort(loopback, strconv.Itoa(port)) }

// isFree reports whether no process listens on the address.
func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
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

package pgsrv_test

import (
	"net"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// idleConnections is a tenth of the connections of one instance when 8.5 million callers share 2,200 instances.
const idleConnections = 390

// maxIdleBytes bounds the memory of an idle connection, including the test's own end of it.
const maxIdleBytes = 24 << 10

func TestIdleConnectionMemoryIsBounded(t *testing.T) {
	perConnection := measureIdle(t, newHarness(t), idleConnections)
	t.Logf("%d bytes per idle connection", perConnection)
	require.Less(t, perConnection, uint64(maxIdleBytes))
}

func BenchmarkIdleConnection(b *testing.B) {
	h := newHarness(b)
	for b.Loop() {
		b.ReportMetric(float64(measureIdle(b, h, idleConnections)), "B/connection")
	}
}

// measureIdle returns the heap and stack bytes per connection after each connection has run a query and become idle.
func measureIdle(tb testing.TB, h *harness, count int) uint64 {
	tb.Helper()
	before := memoryInUse()
	conns := make([]net.Conn, count)
	for i := range conns {
		conns[i] = h.dial()
		frontend := startUp(tb, conns[i])
		_, err := conns[i].Write(encode(tb, query("SELECT roll")))
		require.NoError(tb, err)
		for range 4 {
			_, err := frontend.Receive()
			require.NoError(tb, err)
		}
	}
	h.owners.Wait()
	after := memoryInUse()
	for _, conn := range conns {
		require.NoError(tb, conn.Close())
	}
	return (after - before) / uint64(count)
}

func memoryInUse() uint64 {
	for range 3 {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

func BenchmarkSimpleQuery(b *testing.B) {
	h := newHarness(b)
	conn := h.dial()
	frontend := startUp(b, conn)
	request := encode(b, query("SELECT roll"))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Write(request); err != nil {
			b.Fatal(err)
		}
		for range 4 {
			if _, err := frontend.Receive(); err != nil {
				b.Fatal(err)
			}
		}
	}
}

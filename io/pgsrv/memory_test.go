package pgsrv_test

import (
	"net"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// idleConnections is a tenth of what one of 2,200 instances holds with 8.5 million callers.
const idleConnections = 390

// maxIdleBytes bounds the memory of an idle connection, both ends of the test's socket pair included.
const maxIdleBytes = 24 << 10

func TestIdleConnectionIsSmall(t *testing.T) {
	perConnection := measureIdle(t, newHarness(t), idleConnections)
	t.Logf("%d bytes for each idle connection", perConnection)
	require.Less(t, perConnection, uint64(maxIdleBytes))
}

func BenchmarkIdleConnection(b *testing.B) {
	bench := newHarness(b)
	for b.Loop() {
		b.ReportMetric(float64(measureIdle(b, bench, idleConnections)), "B/connection")
	}
}

// measureIdle returns the heap and stack bytes that each connection adds once it has run a query and waits.
func measureIdle(tb testing.TB, b *harness, count int) uint64 {
	tb.Helper()
	before := memoryInUse()
	conns := make([]net.Conn, count)
	for i := range conns {
		conns[i] = b.dial()
		front := startUp(tb, conns[i])
		_, err := conns[i].Write(encode(tb, query("SELECT roll")))
		require.NoError(tb, err)
		for range 4 {
			_, err := front.Receive()
			require.NoError(tb, err)
		}
	}
	b.owners.Wait()
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
	bench := newHarness(b)
	conn := bench.dial()
	front := startUp(b, conn)
	request := encode(b, query("SELECT roll"))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Write(request); err != nil {
			b.Fatal(err)
		}
		for range 4 {
			if _, err := front.Receive(); err != nil {
				b.Fatal(err)
			}
		}
	}
}

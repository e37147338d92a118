package peers_test

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/peers"
	"turmericpulley/io/wire"
)

// meshSize is the number of instances that open a session to each other one.
const meshSize = 24

// BenchmarkSessionMemory reports the memory of an idle session between two instances, both ends together.
func BenchmarkSessionMemory(b *testing.B) {
	for b.Loop() {
		services := startServices(b, meshSize, newMemoryStore())
		for _, s := range services {
			s.HandleTransactions(echo)
		}
		before, goroutines := memoryInUse(), runtime.NumGoroutine()
		dialled := sessionsDialled(services)
		for _, from := range services {
			openAll(b, from)
		}
		opened := float64(sessionsDialled(services) - dialled)
		b.ReportMetric(float64(memoryInUse()-before)/opened, "B/session")
		b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/opened, "goroutines/session")
	}
}

// openAll exchanges one transaction with every other instance.
func openAll(b *testing.B, from *peers.Service) {
	b.Helper()
	for _, i := range from.Membership().Live() {
		if i.ID == from.Self().ID {
			continue
		}
		s, err := from.Open(b.Context(), i.ID, &wire.Begin{RequestId: 1})
		require.NoError(b, err)
		require.NoError(b, s.Send(&wire.Frame{RequestId: 1, Payload: make([]byte, payloadBytes)}))
		_, err = s.Receive()
		require.NoError(b, err)
		require.NoError(b, s.Close())
	}
}

func sessionsDialled(services []*peers.Service) uint64 {
	total := uint64(0)
	for _, s := range services {
		total += s.Counters().SessionsDialled.Load()
	}
	return total
}

func memoryInUse() uint64 {
	for range 2 {
		runtime.GC()
	}
	stats := runtime.MemStats{}
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

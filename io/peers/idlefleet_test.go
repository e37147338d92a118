package peers_test

import (
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
	"turmericpulley/io/peers"
)

// measurementTime is how long each iteration of BenchmarkIdleFleets measures.
const measurementTime = 5 * time.Second

// BenchmarkIdleFleets measures the network, processor and memory use per instance of idle fleets of several sizes.
func BenchmarkIdleFleets(b *testing.B) {
	for _, size := range []int{9, 40, 120} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			services := startServices(b, size, newMemoryStore())
			for b.Loop() {
				measureIdleCost(b, services)
			}
		})
	}
}

func startServices(b *testing.B, size int, store *memoryStore) []*peers.Service {
	b.Helper()
	services := make([]*peers.Service, 0, size)
	for index := range size {
		self := fleet.Instance{ID: types.InstanceID(fmt.Sprintf("i%03d", index)), PeerAddress: "127.0.0.1:0"}
		self.DataCentre = types.DataCentre(fmt.Sprintf("dc-%d", index%3))
		s, err := peers.New(peers.Settings{Self: self, Region: "region", Store: store})
		require.NoError(b, err)
		services = append(services, s)
	}
	b.Cleanup(func() {
		closing := sync.WaitGroup{}
		for _, s := range services {
			closing.Go(s.Close)
		}
		closing.Wait()
	})
	for _, s := range services {
		require.Eventually(b, func() bool { return len(s.Membership().Live()) == size && s.CheckFreshness() == nil }, 30*time.Second, pollInterval)
	}
	return services
}

func measureIdleCost(b *testing.B, services []*peers.Service) {
	b.Helper()
	bytesBefore, cpuBefore, heartbeatsBefore, stale := bytesSent(services), cpuTime(b), heartbeats(services), 0
	for range 100 {
		time.Sleep(measurementTime / 100)
		for _, s := range services {
			if s.CheckFreshness() != nil {
				stale++
			}
		}
	}
	perInstance := 1 / float64(len(services)) / measurementTime.Seconds()
	memory := runtime.MemStats{}
	runtime.GC()
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(bytesSent(services)-bytesBefore)*perInstance, "sent-B/s")
	b.ReportMetric(float64(heartbeats(services)-heartbeatsBefore)*perInstance, "heartbeats/s")
	b.ReportMetric((cpuTime(b)-cpuBefore).Seconds()*perInstance*100, "core-%")
	b.ReportMetric(float64(memory.HeapInuse+memory.StackInuse)/float64(len(services)), "B/instance")
	b.ReportMetric(float64(stale), "stale-samples")
}

func bytesSent(services []*peers.Service) uint64 {
	total := uint64(0)
	for _, s := range services {
		total += s.Counters().BytesSent.Load()
	}
	return total
}

func heartbeats(services []*peers.Service) uint64 {
	total := uint64(0)
	for _, s := range services {
		total += s.Counters().Heartbeats.Load()
	}
	return total
}

func cpuTime(tb testing.TB) time.Duration {
	tb.Helper()
	usage := syscall.Rusage{}
	require.NoError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

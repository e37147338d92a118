package owner_test

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"turmericpulley/core/class"
	"turmericpulley/core/policy"
	"turmericpulley/core/trace"
	"turmericpulley/core/types"
	"turmericpulley/io/check"
	"turmericpulley/io/owner"
)

const (
	benchOwners   = 60
	benchDuration = 5 * time.Second
	benchEpoch    = 1 << 20
)

// BenchmarkIdleOwners reports the CPU time, calls, goroutines and memory that each owned database costs its instance while no
// transactions run. The members run in processes of their own, and all owners use the same members.
func BenchmarkIdleOwners(b *testing.B) {
	layout := check.DefaultLayout()
	layout.Instances = 0
	layout.Connections = 0
	f := check.NewFleet(b, layout)
	for b.Loop() {
		memoryBefore, goroutinesBefore := usedMemory(), runtime.NumGoroutine()
		before := measureIdle(b, nil)
		counters := &owner.Counters{}
		owners := make([]*owner.Owner, 0, benchOwners)
		for index := range benchOwners {
			owners = append(owners, newOwner(f, counters, index))
		}
		require.Eventually(b, func() bool {
			for _, o := range owners {
				if o.Report().Phase != "serving" {
					return false
				}
			}
			return true
		}, 30*time.Second, 20*time.Millisecond)
		after := measureIdle(b, counters)
		b.ReportMetric((after.cpuTime-before.cpuTime).Seconds()/benchDuration.Seconds()/benchOwners*100, "core-%/database")
		b.ReportMetric(float64(after.calls)/benchDuration.Seconds()/benchOwners, "calls/s/database")
		b.ReportMetric(float64(runtime.NumGoroutine()-goroutinesBefore)/benchOwners, "goroutines/database")
		b.ReportMetric(float64(usedMemory()-memoryBefore)/benchOwners, "B/database")
		for _, o := range owners {
			o.Close()
		}
	}
}

func newOwner(f *check.Fleet, counters *owner.Counters, index int) *owner.Owner {
	database := policy.Database{Database: types.DatabaseID(fmt.Sprintf("database-%d", index))}
	for _, m := range f.Members[0] {
		database.Members = append(database.Members, policy.Member{Target: m.Target, Address: m.DirectAddress, DataCentre: m.DataCentre})
	}
	return owner.New(owner.Settings{
		Group: policy.Group{Group: "orders-db", Slots: 2, Connections: 15}, Database: database, Epoch: benchEpoch,
		Writes: class.NewWriteSet(), Counters: counters, Recorder: trace.New("instance", 100), Logger: hclog.NewNullLogger(),
	})
}

// idleUsage is the CPU time and the number of monitor calls during benchDuration without transactions.
type idleUsage struct {
	cpuTime time.Duration
	calls   int64
}

// measureIdle waits for benchDuration and returns the usage in that time.
func measureIdle(b *testing.B, counters *owner.Counters) idleUsage {
	b.Helper()
	calls := func() int64 {
		if counters == nil {
			return 0
		}
		return counters.MonitorCalls.Load()
	}
	cpuBefore, callsBefore := processCPUTime(b), calls()
	time.Sleep(benchDuration)
	return idleUsage{cpuTime: processCPUTime(b) - cpuBefore, calls: calls() - callsBefore}
}

func processCPUTime(b *testing.B) time.Duration {
	b.Helper()
	usage := syscall.Rusage{}
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func usedMemory() uint64 {
	for range 2 {
		runtime.GC()
	}
	stats := runtime.MemStats{}
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

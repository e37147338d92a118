package node_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/fakepl"
)

// processCPUTime returns the CPU time that the process has used so far.
func processCPUTime(tb testing.TB) time.Duration {
	tb.Helper()
	usage := syscall.Rusage{}
	require.NoError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkIdleInstances measures the CPU time of instances that monitor many databases without callers, as a share of a core
// for each instance. The fake store's CPU time is included.
func BenchmarkIdleInstances(b *testing.B) {
	const (
		instances = 60
		databases = 200
		span      = 5 * time.Second
	)
	site, err := fakepl.NewPlatform(0)
	require.NoError(b, err)
	defer site.Close()
	site.MemberlessDatabases, site.Store.PageSize = databases, 500
	site.Configure(1, 1000)
	newDataCentre(b, site, instances)
	time.Sleep(span)
	for b.Loop() {
		before, calls := processCPUTime(b), site.Store.Calls()
		time.Sleep(span)
		b.ReportMetric((processCPUTime(b)-before).Seconds()/span.Seconds()/instances*100, "%core/instance")
		b.ReportMetric(float64(site.Store.Calls()-calls)/span.Seconds(), "calls/s")
	}
}

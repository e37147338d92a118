//go:build measure

package check_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"turmericpulley/io/check"
)

const (
	latencySamples     = 300
	throughputDuration = 4 * time.Second
	stockRead          = "SELECT value FROM stock WHERE key = 'measure'"
)

// path is a route from a caller to the primary of the first database.
type path struct {
	name    string
	address string
	direct  bool
	// links is the number of the test's links on the path.
	links int
}

// newPaths returns two direct paths, one through the owner and one through another instance. That instance is in the owner's data
// centre if there is another one there, else in any.
func newPaths(t *testing.T, f *check.Fleet, s deployment) []path {
	t.Helper()
	owner, primary := f.Owner(0), f.Primary(0)
	entry := f.Others(owner)[0]
	for _, i := range f.Others(owner) {
		if i.DataCentre == owner.DataCentre {
			entry = i
		}
	}
	direct := newDirectLink(t, "direct", primary.DirectAddress, s)
	double := newDirectLink(t, "double", check.NewLink(t, "second", primary.DirectAddress).Address(), s)
	t.Logf("PATHS %s | primary in %s, owner in %s, other instance in %s", s.name, primary.DataCentre, owner.DataCentre, entry.DataCentre)
	return []path{
		{"direct", direct.Address(), true, 1},
		{"direct through two links", double.Address(), true, 2},
		{"through the owner", owner.CallerLink.Address(), false, 2},
		{"through another instance", entry.CallerLink.Address(), false, 3},
	}
}

func newDirectLink(t *testing.T, name, upstream string, s deployment) *check.Link {
	t.Helper()
	link := check.NewLink(t, name, upstream)
	link.Delay(s.layout.CallerDelay)
	return link
}

// dial connects as the customer whose reads all go to the primary.
func (p path) dial(t *testing.T, s deployment) *pgx.Conn {
	t.Helper()
	database := string(s.layout.Group) + "-1"
	connection, err := pgx.Connect(context.Background(), "postgres://"+string(primaryOnlyCustomer)+"@"+p.address+"/"+database+
		"?sslmode=disable&default_query_exec_mode=exec")
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close(context.Background()) })
	return connection
}

// TestMeasureLatency logs the latency of reads and writes on each path, without and with the users' network delays.
func TestMeasureLatency(t *testing.T) {
	undelayed := sencnik()
	undelayed.name = "no delays"
	undelayed.layout.CallerDelay = 0
	undelayed.layout.PlatformDelay = 0
	undelayed.dataCentreDelay = 0
	for _, s := range append([]deployment{undelayed}, deployments()...) {
		t.Run(s.name, func(t *testing.T) {
			f := s.startFleet(t)
			for _, p := range newPaths(t, f, s) {
				measureLatency(t, s, p)
			}
		})
	}
}

func measureLatency(t *testing.T, s deployment, p path) {
	t.Helper()
	connection := p.dial(t, s)
	reads := measureLatencies(t, func(int) error {
		_, err := connection.Exec(context.Background(), stockRead)
		return err
	})
	run := time.Now().UnixNano()
	writes := measureLatencies(t, func(i int) error {
		_, err := connection.Exec(context.Background(), fmt.Sprintf("INSERT INTO orders (key, value) VALUES ('m%d-%d', '1')", run, i))
		return err
	})
	t.Logf("LATENCY %s | %s (%d links) | read p50 %.2f p99 %.2f ms | write p50 %.2f p99 %.2f ms", s.name, p.name, p.links,
		percentile(reads, 50), percentile(reads, 99), percentile(writes, 50), percentile(writes, 99))
}

// measureLatencies makes the call latencySamples times and returns the sorted latencies in milliseconds.
func measureLatencies(t *testing.T, call func(i int) error) []float64 {
	t.Helper()
	latencies := make([]float64, 0, latencySamples)
	for i := range latencySamples {
		start := time.Now()
		require.NoError(t, call(i))
		latencies = append(latencies, float64(time.Since(start).Microseconds())/1000)
	}
	slices.Sort(latencies)
	return latencies
}

func percentile(sorted []float64, percent int) float64 {
	return sorted[min(len(sorted)-1, len(sorted)*percent/100)]
}

// TestMeasureThroughput logs the reads per second of callers that wait for each response, and the instances' CPU time per read.
// The members' statement time is zero.
func TestMeasureThroughput(t *testing.T) {
	s := sencnik()
	s.name = "no delays, no statement time"
	s.layout.CallerDelay, s.layout.PlatformDelay, s.dataCentreDelay = 0, 0, 0
	s.layout.Slots, s.layout.Connections, s.layout.StatementTime = 64, 100, 0
	for i := range s.layout.Contracts {
		s.layout.Contracts[i].Connections = 90
	}
	f := s.startFleet(t)
	for _, p := range newPaths(t, f, s) {
		for _, callers := range []int{1, 32} {
			measureThroughput(t, f, s, p, callers)
		}
	}
}

func measureThroughput(t *testing.T, f *check.Fleet, s deployment, p path, callers int) {
	t.Helper()
	connections := make([]*pgx.Conn, 0, callers)
	for range callers {
		connections = append(connections, p.dial(t, s))
	}
	counts := make([]int, callers)
	before := totalCPUTime(t, f)
	start := time.Now()
	goroutines := sync.WaitGroup{}
	for i, connection := range connections {
		goroutines.Go(func() {
			for time.Since(start) < throughputDuration {
				if _, err := connection.Exec(context.Background(), stockRead); err != nil {
					t.Errorf("reading: %v", err)
					return
				}
				counts[i]++
			}
		})
	}
	goroutines.Wait()
	elapsed := time.Since(start)
	after := totalCPUTime(t, f)
	total := 0
	for _, count := range counts {
		total += count
	}
	for _, connection := range connections {
		require.NoError(t, connection.Close(context.Background()))
	}
	t.Logf("THROUGHPUT %s | %s (%d links) | %d callers | %.0f reads/s | instances spend %.1f us per read",
		s.name, p.name, p.links, callers, float64(total)/elapsed.Seconds(), float64((after-before).Microseconds())/float64(total))
}

// totalCPUTime returns the sum of the CPU times of all instances.
func totalCPUTime(t *testing.T, f *check.Fleet) time.Duration {
	t.Helper()
	total := time.Duration(0)
	for _, i := range f.Instances {
		usage, err := i.Usage()
		require.NoError(t, err)
		total += usage.CPUTime
	}
	return total
}

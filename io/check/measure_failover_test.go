//go:build measure

package check_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/check"
	"turmericpulley/io/load"
)

const (
	// killRounds is the number of rounds; each kills the primary of every database.
	killRounds = 7
	// failoverSessions is high enough that each database still has a free caller while the others wait for a dead primary.
	failoverSessions = 60
	// failoverRate makes the usual time between two writes of a database a small part of a failover gap.
	failoverRate load.Rate = 600
	// cutRounds is the number of rounds; each cuts off the primary of every database.
	cutRounds = 2
	// noFailureRounds is the number of rounds without a failure; each measures one gap for every database.
	noFailureRounds = 2
)

// TestMeasureFailover logs the time without an acknowledged write after primaries are killed.
func TestMeasureFailover(t *testing.T) {
	for _, s := range deployments() {
		t.Run(s.name, func(t *testing.T) {
			f := s.startFleet(t)
			measureFailovers(t, f, s, "killed", killRounds, killPrimary)
		})
	}
}

// TestMeasureCut logs the time without an acknowledged write after primaries are cut off from instances and replicas.
func TestMeasureCut(t *testing.T) {
	for _, s := range deployments() {
		t.Run(s.name, func(t *testing.T) {
			f := s.startFleet(t)
			measureFailovers(t, f, s, "cut off", cutRounds, cutPrimaryOff)
		})
	}
}

// TestMeasureNoFailure logs the longest time between two acknowledged writes when nothing fails.
func TestMeasureNoFailure(t *testing.T) {
	for _, s := range deployments() {
		t.Run(s.name, func(t *testing.T) {
			f := s.startFleet(t)
			measureFailovers(t, f, s, "no failure", noFailureRounds, func(*check.Fleet, int) func() { return func() {} })
		})
	}
}

// failure makes the primary of a database fail and returns a function that repairs it after the load.
type failure func(f *check.Fleet, database int) (repair func())

func killPrimary(f *check.Fleet, database int) func() {
	primary := f.Primary(database)
	primary.Kill()
	return primary.Start
}

func cutPrimaryOff(f *check.Fleet, database int) func() {
	primary := f.Primary(database)
	f.CutMember(primary, f.Instances, check.Upstream, check.Downstream)
	return func() { f.HealMember(primary) }
}

func measureFailovers(t *testing.T, f *check.Fleet, s deployment, name string, rounds int, inject failure) {
	t.Helper()
	gaps := make([]float64, 0, rounds*len(f.Members))
	clean, unknown, findings := true, 0, 0
	for round := range rounds {
		settings := s.loadSettings(f)
		settings.WriteShare = 0.5
		settings.Sessions = failoverSessions
		settings.Connections = 2
		settings.Rate = failoverRate
		settings.Duration = 6 * time.Second
		settings.Seed += uint64(round)
		result := measureFailover(t, f, settings, inject)
		for _, gap := range result.Gaps {
			gaps = append(gaps, float64(gap.Length))
		}
		for _, class := range result.Classes {
			unknown += class.Unknown
		}
		clean = clean && result.Clean()
		findings += len(result.Findings)
		waitRejoined(t, f)
	}
	slices.Sort(gaps)
	t.Logf("FAILOVER %s | %s | %d failovers | gap ms: min %.0f p50 %.0f p90 %.0f max %.0f | unknown %d | clean %v (%d findings) | all %.0f",
		s.name, name, len(gaps), gaps[0], gaps[len(gaps)/2], gaps[len(gaps)*9/10], gaps[len(gaps)-1], unknown, clean, findings, gaps)
}

// measureFailover makes the primaries of all databases fail under load, half a second apart.
func measureFailover(t *testing.T, f *check.Fleet, settings load.Settings, inject failure) load.Result {
	t.Helper()
	repairs := make([]func(), len(f.Members))
	result := runWithFault(t, settings, func() {
		goroutines := sync.WaitGroup{}
		for database := range f.Members {
			goroutines.Go(func() { repairs[database] = inject(f, database) })
			time.Sleep(settleTime)
		}
		goroutines.Wait()
	})
	for _, repair := range repairs {
		repair()
	}
	return result
}

// runWithFault runs the load and injects the fault when the load writes its progress for the first time, which is a second after
// its preparation.
func runWithFault(t *testing.T, settings load.Settings, fault func()) load.Result {
	t.Helper()
	started := &firstWriteNotifier{written: make(chan struct{})}
	settings.Progress = started
	faultDone := sync.WaitGroup{}
	faultDone.Go(func() {
		<-started.written
		fault()
	})
	result, err := load.Run(context.Background(), settings)
	require.NoError(t, err)
	faultDone.Wait()
	t.Logf("seed %d\n%s", settings.Seed, result.Text())
	return result
}

// firstWriteNotifier is an io.Writer that closes the channel written at its first write.
type firstWriteNotifier struct {
	once    sync.Once
	written chan struct{}
}

// Write closes the channel at the first call and discards the data.
func (w *firstWriteNotifier) Write(data []byte) (int, error) {
	w.once.Do(func() { close(w.written) })
	return len(data), nil
}

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
	// killRounds times the databases of a fleet gives the number of primaries killed.
	killRounds = 7
	// failoverSessions is high enough that some caller of each database is free when the others wait for a dead primary.
	failoverSessions = 60
	// failoverRate makes the usual distance between two writes of a database a small part of a gap.
	failoverRate load.Rate = 600
	// cutRounds times the databases gives the number of primaries cut off.
	cutRounds = 2
	// noFailureRounds times the databases gives the number of gaps without a failure.
	noFailureRounds = 2
)

// TestMeasureFailover prints how long no write is acknowledged after primaries are killed.
func TestMeasureFailover(t *testing.T) {
	for _, s := range deployments() {
		t.Run(s.name, func(t *testing.T) {
			f := s.startFleet(t)
			measureFailovers(t, f, s, "killed", killRounds, killPrimary)
		})
	}
}

// TestMeasureCut prints the same after primaries are cut off from the instances and from their replicas.
func TestMeasureCut(t *testing.T) {
	for _, s := range deployments() {
		t.Run(s.name, func(t *testing.T) {
			f := s.startFleet(t)
			measureFailovers(t, f, s, "cut off", cutRounds, cutPrimaryOff)
		})
	}
}

// TestMeasureNoFailure prints the longest distance between two writes when nothing fails.
func TestMeasureNoFailure(t *testing.T) {
	for _, s := range deployments() {
		t.Run(s.name, func(t *testing.T) {
			f := s.startFleet(t)
			measureFailovers(t, f, s, "no failure", noFailureRounds, func(*check.Fleet, int) func() { return func() {} })
		})
	}
}

// failure makes the primary of a database fail and returns what repairs it after the load.
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

func measureFailovers(t *testing.T, f *check.Fleet, s deployment, name string, rounds int, strike failure) {
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
		result := measureFailover(t, f, settings, strike)
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

// measureFailover lets the primaries of all databases fail half a second apart under load.
func measureFailover(t *testing.T, f *check.Fleet, settings load.Settings, strike failure) load.Result {
	t.Helper()
	repairs := make([]func(), len(f.Members))
	result := runWithFault(t, settings, func() {
		striking := sync.WaitGroup{}
		for database := range f.Members {
			striking.Go(func() { repairs[database] = strike(f, database) })
			time.Sleep(settleTime)
		}
		striking.Wait()
	})
	for _, repair := range repairs {
		repair()
	}
	return result
}

// runWithFault generates the load and lets the fault strike once the prepared load has run for a second.
func runWithFault(t *testing.T, settings load.Settings, fault func()) load.Result {
	t.Helper()
	begun := &firstWriteNotifier{written: make(chan struct{})}
	settings.Progress = begun
	striking := sync.WaitGroup{}
	striking.Go(func() {
		<-begun.written
		fault()
	})
	result, err := load.Run(context.Background(), settings)
	require.NoError(t, err)
	striking.Wait()
	t.Logf("seed %d\n%s", settings.Seed, result.Text())
	return result
}

// firstWriteNotifier tells when something was written for the first time.
type firstWriteNotifier struct {
	once    sync.Once
	written chan struct{}
}

// Write notes that something was written.
func (w *firstWriteNotifier) Write(data []byte) (int, error) {
	w.once.Do(func() { close(w.written) })
	return len(data), nil
}

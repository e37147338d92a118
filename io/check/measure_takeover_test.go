//go:build measure

package check_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/check"
)

// takeoverRounds is the number of owners killed.
const takeoverRounds = 6

// TestMeasureTakeover logs the time without an acknowledged write after the owner of a database is killed.
func TestMeasureTakeover(t *testing.T) {
	s := sencnik()
	f := s.startFleet(t)
	gaps := make([]float64, 0, takeoverRounds)
	clean := true
	for round := range takeoverRounds {
		settings := s.loadSettings(f)
		settings.WriteShare = 0.5
		settings.Sessions = failoverSessions
		settings.Connections = 2
		settings.Rate = failoverRate
		settings.Duration = 5 * time.Second
		settings.Seed += uint64(round)
		database := round % len(f.Members)
		var owner *check.Instance
		result := runWithFault(t, settings, func() {
			owner = f.Owner(database)
			owner.Kill()
		})
		gaps = append(gaps, float64(result.Gaps[database].Length))
		clean = clean && result.Clean()
		owner.Start()
		f.WaitReady(owner)
		require.Eventually(t, func() bool { return f.Owner(database) != nil }, rejoinTimeout, rejoinPoll)
		time.Sleep(2 * settleTime)
	}
	slices.Sort(gaps)
	t.Logf("TAKEOVER %s | %d owners killed | gap ms: min %.0f p50 %.0f max %.0f | clean %v | all %.0f",
		s.name, len(gaps), gaps[0], gaps[len(gaps)/2], gaps[len(gaps)-1], clean, gaps)
}

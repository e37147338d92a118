package check_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/check"
	"turmericpulley/io/load"
)

// Bounds of the failover gap.
const (
	maxKillGap load.Milliseconds = 3000
	maxCutGap  load.Milliseconds = 5000
)

// underLoad runs a load, lets the fault strike, and requires a clean history and a bounded gap.
func underLoad(t *testing.T, f *check.Fleet, maxGap load.Milliseconds, fault func()) load.Result {
	t.Helper()
	result := f.Run(f.Load(), faultDelay, fault)
	f.RequireClean(result)
	t.Logf("failover gap %.0f ms", float64(result.FailoverGap))
	require.Less(t, result.FailoverGap, maxGap)
	return result
}

func TestPrimaryKilled(t *testing.T) {
	f := check.NewFleet(t, check.DefaultLayout())
	underLoad(t, f, maxKillGap, f.Members[0][0].Kill)
	require.NotEqual(t, f.Members[0][0], f.Primary(0))
}

func TestOwnerKilled(t *testing.T) {
	f := check.NewFleet(t, check.DefaultLayout())
	underLoad(t, f, maxKillGap, f.Owner(0).Kill)
}

func TestOwnerAndPrimaryKilled(t *testing.T) {
	f := check.NewFleet(t, check.DefaultLayout())
	underLoad(t, f, maxCutGap, func() {
		f.Owner(0).Kill()
		f.Members[0][0].Kill()
	})
}

func TestPrimaryPausedPastItsReplacement(t *testing.T) {
	f := check.NewFleet(t, check.DefaultLayout())
	paused := f.Members[0][0]
	underLoad(t, f, maxCutGap, func() {
		paused.Pause()
		time.Sleep(3 * time.Second)
		replacement := f.Primary(0)
		paused.Resume()
		require.NotNil(t, replacement)
		require.NotEqual(t, paused.Target, replacement.Target)
	})
}

func TestOwnerPausedPastItsReplacement(t *testing.T) {
	f := check.NewFleet(t, check.DefaultLayout())
	owner := f.Owner(0)
	underLoad(t, f, maxCutGap, func() {
		owner.Pause()
		time.Sleep(3 * time.Second)
		owner.Resume()
	})
}

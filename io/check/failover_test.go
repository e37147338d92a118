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
	// maxBlackholeGap is how long a silent connection may stay in use.
	maxBlackholeGap load.Milliseconds = 3000
)

const (
	rejoinTimeout = 10 * time.Second
	rejoinPoll    = 50 * time.Millisecond
)

// underLoad runs a load, lets the fault strike, and requires a clean history and a bounded gap.
func underLoad(t *testing.T, f *check.Fleet, maxGap load.Milliseconds, fault func()) load.Result {
	t.Helper()
	result := f.RunLoad(f.LoadSettings(), faultDelay, fault)
	f.RequireClean(result)
	t.Logf("failover gap %.0f ms", float64(result.FailoverGap))
	require.Less(t, result.FailoverGap, maxGap)
	return result
}

func TestPrimaryKilled(t *testing.T) {
	t.Parallel()
	f := check.NewFleet(t, check.DefaultLayout())
	underLoad(t, f, maxKillGap, f.Members[0][0].Kill)
	require.NotEqual(t, f.Members[0][0], f.Primary(0))
}

func TestOwnerKilled(t *testing.T) {
	t.Parallel()
	f := check.NewFleet(t, check.DefaultLayout())
	underLoad(t, f, maxKillGap, f.Owner(0).Kill)
}

func TestOwnerAndPrimaryKilled(t *testing.T) {
	t.Parallel()
	f := check.NewFleet(t, check.DefaultLayout())
	underLoad(t, f, maxCutGap, func() {
		f.Owner(0).Kill()
		f.Members[0][0].Kill()
	})
}

func TestPrimaryPausedPastItsReplacement(t *testing.T) {
	t.Parallel()
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
	t.Parallel()
	f := check.NewFleet(t, check.DefaultLayout())
	owner := f.Owner(0)
	underLoad(t, f, maxCutGap, func() {
		owner.Pause()
		time.Sleep(3 * time.Second)
		owner.Resume()
	})
}

// The old primary appends writes that no replica receives, dies, and returns with that tail after its replacement.
func TestPrimaryReturnsWithALongerTail(t *testing.T) {
	t.Parallel()
	f := check.NewFleet(t, check.DefaultLayout())
	old := f.Members[0][0]
	underLoad(t, f, maxCutGap, func() {
		old.ReplicationLink.CutBoth()
		time.Sleep(300 * time.Millisecond)
		old.Kill()
		old.ReplicationLink.Heal()
		time.Sleep(time.Second)
		old.Start()
	})
	require.Eventually(t, func() bool {
		status, err := old.Status()
		return err == nil && status.Role == "replica" && status.Discarded > 0
	}, rejoinTimeout, rejoinPoll, "the old primary did not discard its tail")
}

// The replacement stops before it has served for long.
func TestSecondPrimaryFailsDuringThePromotion(t *testing.T) {
	t.Parallel()
	f := check.NewFleet(t, check.DefaultLayout())
	underLoad(t, f, maxCutGap, func() {
		f.Members[0][0].Kill()
		time.Sleep(100 * time.Millisecond)
		for _, m := range f.Members[0][1:] {
			m.Pause()
			time.Sleep(400 * time.Millisecond)
			m.Resume()
		}
		f.Members[0][0].Start()
	})
}

// Replicas are far behind when the primary dies; every session roams between instances.
func TestPrimaryKilledWithLaggingReplicas(t *testing.T) {
	t.Parallel()
	layout := check.DefaultLayout()
	layout.ApplyLag = 500 * time.Millisecond
	f := check.NewFleet(t, layout)
	underLoad(t, f, maxKillGap, f.Members[0][0].Kill)
}

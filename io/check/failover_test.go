package check_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/check"
	"turmericpulley/io/load"
)

// Upper bounds of the failover gap, the longest time without an acknowledged write.
const (
	maxKillGap load.Milliseconds = 3000
	maxCutGap  load.Milliseconds = 5000
	// maxBlackholeGap applies when open connections become unresponsive and have to be replaced.
	maxBlackholeGap load.Milliseconds = 3000
)

const (
	rejoinTimeout = 10 * time.Second
	rejoinPoll    = 50 * time.Millisecond
)

// underLoad injects the fault into a running load, and requires a consistent history and a failover gap below maxGap.
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

func TestPrimaryResumedAfterItsReplacement(t *testing.T) {
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

func TestOwnerResumedAfterItsReplacement(t *testing.T) {
	t.Parallel()
	f := check.NewFleet(t, check.DefaultLayout())
	owner := f.Owner(0)
	underLoad(t, f, maxCutGap, func() {
		owner.Pause()
		time.Sleep(3 * time.Second)
		owner.Resume()
	})
}

// The old primary appends writes that no replica receives, is killed, and restarts after its replacement was promoted. It has
// to discard those writes.
func TestRestartedPrimaryDiscardsUnreplicatedWrites(t *testing.T) {
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
	}, rejoinTimeout, rejoinPoll, "the old primary did not discard its unreplicated writes")
}

// Each replica in turn is paused for 400 ms soon after the primary was killed, so that the promotion or the first writes of the
// new primary are interrupted.
func TestReplicasPausedDuringPromotion(t *testing.T) {
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

// The replicas apply the log 500 ms late when the primary is killed. Callers change the instance after every request.
func TestPrimaryKilledWithLaggingReplicas(t *testing.T) {
	t.Parallel()
	layout := check.DefaultLayout()
	layout.ApplyLag = 500 * time.Millisecond
	f := check.NewFleet(t, layout)
	underLoad(t, f, maxKillGap, f.Members[0][0].Kill)
}

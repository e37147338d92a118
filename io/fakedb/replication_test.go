package fakedb_test

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/types"
	"turmericpulley/io/fakedb"
)

// tick is the time between two checks of a condition.
const tick = time.Millisecond

// startGroup returns a primary and two replicas that follow it.
func startGroup(t *testing.T, adapt func(*fakedb.Settings)) []*fakedb.Member {
	t.Helper()
	group := make([]*fakedb.Member, 0, 3)
	for i := range 3 {
		settings := fastSettings()
		settings.ID = types.TargetID(fmt.Sprint("m", i))
		settings.Members = 3
		if i > 0 {
			settings.Role = fakedb.Replica
			settings.Primary = group[0].Address()
		}
		if adapt != nil {
			adapt(&settings)
		}
		group = append(group, start(t, settings))
	}
	return group
}

// eventually fails the test unless the condition holds within testTimeout.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, testTimeout, tick)
}

// put inserts a row with the given key on a member.
func put(t *testing.T, m *fakedb.Member, key string) {
	t.Helper()
	exec(t, connect(t, m, ""), "INSERT INTO t (key, value) VALUES ($1, '1')", key)
}

// controlf calls a control function of a member.
func controlf(t *testing.T, m *fakedb.Member, format string, arguments ...any) {
	t.Helper()
	exec(t, connect(t, m, ""), "SELECT * FROM "+fmt.Sprintf(format, arguments...))
}

// controlFailsf calls a control function that has to fail with SQLSTATE 55000.
func controlFailsf(t *testing.T, m *fakedb.Member, format string, arguments ...any) {
	t.Helper()
	execFails(t, connect(t, m, ""), "55000", "SELECT * FROM "+fmt.Sprintf(format, arguments...))
}

// The apply lag delays visibility only; the receive lag also delays the commit.
func TestReplicationAppliesLags(t *testing.T) {
	group := startGroup(t, nil)
	c := connect(t, group[1], "")
	put(t, group[0], "a")
	eventually(t, func() bool { return group[0].Status().Committed == 1 && group[1].Status().Applied == 1 })
	require.Equal(t, "1", queryText(t, c, "SELECT value FROM t WHERE key = 'a'"))
	require.Equal(t, "1", c.PgConn().ParameterStatus("pulley.position"))
	execFails(t, c, "25006", "INSERT INTO t (key, value) VALUES ('b', '1')")

	exec(t, c, "SET pulley_standin.apply_lag = '1h'")
	put(t, group[0], "b")
	eventually(t, func() bool { return group[1].Status().Position == 2 })
	require.EqualValues(t, 1, group[1].Status().Applied)
	eventually(t, func() bool { return group[1].Status().Streaming })
	exec(t, c, "SET pulley_standin.apply_lag = '0s'")
	eventually(t, func() bool { return group[1].Status().Applied == 2 })

	group[1].SetReceiveLag(time.Hour)
	group[2].SetReceiveLag(time.Hour)
	put(t, group[0], "c")
	require.Never(t, func() bool { return group[0].Status().Committed > 2 }, 100*time.Millisecond, 10*tick)
	group[2].SetReceiveLag(0)
	eventually(t, func() bool { return group[0].Status().Committed == 3 })
	require.EqualValues(t, 2, group[1].Status().Position)
}

func TestWatchReturnsOnCommitOrTimeout(t *testing.T) {
	group := startGroup(t, nil)
	watcher := connect(t, group[0], "&pulley.epoch=0")
	var returnedAt time.Time
	done := make(chan error, 1)
	go func() {
		_, err := watcher.Exec(background(t), "SELECT * FROM pulley_watch(0, 5000)")
		returnedAt = time.Now()
		done <- err
	}()
	before := time.Now()
	put(t, group[0], "a")
	require.NoError(t, <-done)
	require.Less(t, returnedAt.Sub(before), time.Second)
	require.EqualValues(t, 1, group[0].Status().Committed)
	started := time.Now()
	exec(t, watcher, "SELECT * FROM pulley_watch(1, 50)")
	require.GreaterOrEqual(t, time.Since(started), 50*time.Millisecond)
}

// Entries that the old primary appended after the others were fenced are not committed. It discards them when it follows the
// new primary.
func TestOldPrimaryDiscardsDivergentEntries(t *testing.T) {
	group := startGroup(t, nil)
	put(t, group[0], "kept")
	for _, m := range group {
		eventually(t, func() bool { return m.Status().Applied == 1 })
		controlf(t, m, "pulley_claim(7)")
	}
	controlFailsf(t, group[1], "pulley_fence(6, 2)")
	controlFailsf(t, group[1], "pulley_fence(7, 1)")
	for _, m := range group[1:] {
		controlf(t, m, "pulley_fence(7, 2)")
		controlFailsf(t, m, "pulley_fence(7, 2)")
	}
	put(t, group[0], "lost1")
	put(t, group[0], "lost2")
	require.Never(t, func() bool { return group[0].Status().Committed > 1 }, 100*time.Millisecond, 10*tick)

	controlFailsf(t, group[1], "pulley_promote(7, 3)")
	controlf(t, group[1], "pulley_promote(7, 2)")
	require.Equal(t, fakedb.Primary, group[1].Status().Role)
	require.EqualValues(t, 2, group[1].Status().LogTerm)
	put(t, group[1], "new")
	require.EqualValues(t, 0, group[1].Status().Committed)
	controlf(t, group[2], "pulley_follow(7, 2, '%s')", group[1].Address())
	eventually(t, func() bool { return group[1].Status().Committed == 3 })

	controlf(t, group[0], "pulley_follow(7, 2, '%s')", group[1].Address())
	eventually(t, func() bool { return group[0].Status().Discarded > 0 })
	require.EqualValues(t, 2, group[0].Status().Discarded)
	want := map[string]string{"kept": "1", "new": "1"}
	for _, m := range group {
		eventually(t, func() bool { return m.Status().Applied == 3 })
		require.Equal(t, want, m.Rows("t"))
	}
	controlFailsf(t, group[0], "pulley_follow(7, 1, '%s')", group[2].Address())
	controlFailsf(t, group[2], "pulley_promote(7, 2)")
}

// A fence ends connections that have run statements on the primary, but not those with status calls only.
func TestFenceEndsConnectionsWithStatementsOnPrimary(t *testing.T) {
	m := start(t, fastSettings())
	worker, observer := connect(t, m, ""), connect(t, m, "")
	exec(t, observer, "SELECT * FROM pulley_status()")
	exec(t, worker, "BEGIN")
	exec(t, worker, "INSERT INTO t (key, value) VALUES ('a', '1')")
	controlf(t, m, "pulley_fence(0, 2)")
	_, err := worker.Exec(background(t), "COMMIT")
	requireSQLState(t, "57P01", err)
	require.Empty(t, m.Rows("t"))
	require.Equal(t, fakedb.Replica, m.Status().Role)
	exec(t, observer, "SELECT * FROM pulley_status()")
}

// A primary that restarts from its state file is a replica until it is fenced and promoted again.
func TestRestartedPrimaryIsReplicaUntilPromoted(t *testing.T) {
	settings := fastSettings()
	settings.StatePath = filepath.Join(t.TempDir(), "state.jsonl")
	primary := start(t, settings)
	replicaSettings := fastSettings()
	replicaSettings.ID, replicaSettings.Role, replicaSettings.Primary = "other", fakedb.Replica, primary.Address()
	replica := start(t, replicaSettings)
	put(t, primary, "a")
	eventually(t, func() bool { return replica.Status().Applied == 1 })
	controlf(t, primary, "pulley_claim(3)")
	settings.Address = primary.Address()
	require.NoError(t, primary.Close())
	eventually(t, func() bool { return !replica.Status().Streaming })

	restarted := start(t, settings)
	status := restarted.Status()
	require.Equal(t, fakedb.Replica, status.Role)
	require.EqualValues(t, 3, status.Epoch)
	require.EqualValues(t, 1, status.Applied)
	require.Equal(t, map[string]string{"a": "1"}, restarted.Rows("t"))
	controlf(t, restarted, "pulley_fence(3, 2)")
	controlf(t, restarted, "pulley_promote(3, 2)")
	put(t, restarted, "b")
	controlf(t, replica, "pulley_follow(0, 2, '%s')", restarted.Address())
	eventually(t, func() bool { return replica.Status().Applied == 3 && replica.Status().Streaming })
	require.Equal(t, restarted.Rows("t"), replica.Rows("t"))
}

// An entry of an older term is not committed when a majority has received it: a primary with a newer log could still replace it.
// It is committed together with the first entry of the primary's own term.
func TestEntryOfOlderTermCommitsOnlyWithOneOfOwnTerm(t *testing.T) {
	const lag = 500 * time.Millisecond
	group := startGroup(t, func(s *fakedb.Settings) { s.ReceiveLag = time.Hour })
	put(t, group[0], "old")
	<-time.After(lag)
	for _, m := range group {
		controlf(t, m, "pulley_fence(0, 2)")
	}
	group[1].SetReceiveLag(lag)
	controlf(t, group[0], "pulley_promote(0, 2)")
	controlf(t, group[1], "pulley_follow(0, 2, '%s')", group[0].Address())
	eventually(t, func() bool { return group[1].Status().Position == 1 })
	require.Never(t, func() bool {
		committed := group[0].Status().Committed
		return committed == 1
	}, lag/2, tick)
	eventually(t, func() bool { return group[0].Status().Committed == 2 })
}

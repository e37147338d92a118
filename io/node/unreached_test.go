package node_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/fakepl"
)

// awaitStandby waits until the owner record names a standby, and until that has read so. It returns the owner, the standby and the
// other instances.
func awaitStandby(tb testing.TB, site *fakepl.Platform, all []*testInstance) (owner, standby *testInstance, others []*testInstance) {
	tb.Helper()
	require.Eventually(tb, func() bool { return standbyOf(site) != "" }, 10*time.Second, 20*time.Millisecond)
	time.Sleep(3 * time.Second)
	for _, i := range all {
		switch string(i.id) {
		case ownerOf(site):
			owner = i
		case standbyOf(site):
			standby = i
		default:
			others = append(others, i)
		}
	}
	require.NotNil(tb, owner)
	require.NotNil(tb, standby)
	return owner, standby, others
}

// TestStandbyActsAtOnceWhileTheStoreIsSilent silences the owner while calls to the store get no answer for three seconds. The standby
// must not wait for such a call before it acts.
func TestStandbyActsAtOnceWhileTheStoreIsSilent(t *testing.T) {
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Configure(1, 1000)
	all := make([]*testInstance, 0, 3)
	for _, name := range []string{"n0", "n1", "n2"} {
		all = append(all, startInstanceWithDelay(t, site, name, 3*time.Second))
	}
	for _, i := range all {
		awaitWrite(t, i.callers)
	}
	owner, standby, _ := awaitStandby(t, site, all)
	for _, i := range all {
		i.disconnected.Store(true)
	}
	time.Sleep(1200 * time.Millisecond)
	owner.peers.silent.Store(true)
	silenced := time.Now()
	require.Eventually(t, func() bool { return fakepl.StatementSucceeds(standby.callers, "primary", "WRITE a 1") }, 5*time.Second, 10*time.Millisecond)
	t.Logf("served after %s", time.Since(silenced))
	require.Less(t, time.Since(silenced), 1500*time.Millisecond)
	owner.peers.silent.Store(false)
	for _, i := range all {
		i.disconnected.Store(false)
	}
}

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

// TestRequestsAreRefusedAtOnceWhenNoOwnerIsReached silences the owner and its standby and disconnects all others from the store, as a
// network split does. Once a takeover would have happened, an instance refuses requests at once and closes their sessions, so that
// callers repeat them over new connections, at other instances. They waited until the route's timeout before, which leaves no time
// for that. When the network is whole again, requests are served again.
func TestRequestsAreRefusedAtOnceWhenNoOwnerIsReached(t *testing.T) {
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Configure(1, 1000)
	owner, standby, others := awaitStandby(t, site, newDataCentre(t, site, 4))
	require.True(t, fakepl.StatementSucceeds(others[0].callers, "primary", "READ a"))
	owner.peers.silent.Store(true)
	standby.peers.silent.Store(true)
	for _, i := range others {
		i.disconnected.Store(true)
	}
	began := time.Now()
	for time.Since(began) < 2500*time.Millisecond {
		_ = fakepl.StatementSucceeds(others[0].callers, "primary", "READ a")
	}
	for range 20 {
		caller, err := fakepl.Dial(others[0].callers, "primary")
		require.NoError(t, err)
		sent := time.Now()
		r, err := caller.Query("READ a")
		require.NoError(t, err)
		require.Equal(t, "BUSY", r.Code, r.Text)
		require.Less(t, time.Since(sent), 50*time.Millisecond)
		_, err = caller.Query("READ a")
		require.Error(t, err, "the session has been closed")
		caller.Close()
	}
	owner.peers.silent.Store(false)
	standby.peers.silent.Store(false)
	for _, i := range others {
		i.disconnected.Store(false)
	}
	awaitWrite(t, others[0].callers)
}

// TestReadIsRepeatedWhenItsConnectionToTheOwnerTurnsSilent silences the open connections to the owner. A read that is waiting for its
// answer has to be sent again over a new connection, long before its timeout.
func TestReadIsRepeatedWhenItsConnectionToTheOwnerTurnsSilent(t *testing.T) {
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Configure(1, 1000)
	owner, _, others := awaitStandby(t, site, newDataCentre(t, site, 3))
	caller, err := fakepl.Dial(others[0].callers, "primary")
	require.NoError(t, err)
	defer caller.Close()
	mustSucceed(t, caller, "READ a")
	owner.peers.silenceOpen()
	sent := time.Now()
	mustSucceed(t, caller, "READ a")
	t.Logf("answered after %s", time.Since(sent))
	require.Less(t, time.Since(sent), 600*time.Millisecond)
}

// TestWriteIsSentOverNewConnectionWhenTheOldOneHasEnded ends the connections to the owner between two writes of a session. The second
// write cannot have been sent over the old connection, so that its outcome is known.
func TestWriteIsSentOverNewConnectionWhenTheOldOneHasEnded(t *testing.T) {
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Configure(1, 1000)
	owner, _, others := awaitStandby(t, site, newDataCentre(t, site, 3))
	caller, err := fakepl.Dial(others[0].callers, "primary")
	require.NoError(t, err)
	defer caller.Close()
	mustSucceed(t, caller, "WRITE a 1")
	owner.peers.endConnections()
	time.Sleep(100 * time.Millisecond)
	mustSucceed(t, caller, "WRITE a 2")
}

// TestWriteIsNotSentToAnInstanceThatHasJustTurnedSilent silences the owner and its standby for good. The outcome of the write that is
// running then is unknown. The next write, over a new session, must be refused as not run: nobody answers there.
func TestWriteIsNotSentToAnInstanceThatHasJustTurnedSilent(t *testing.T) {
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Configure(1, 300)
	owner, standby, others := awaitStandby(t, site, newDataCentre(t, site, 4))
	caller, err := fakepl.Dial(others[0].callers, "primary")
	require.NoError(t, err)
	defer caller.Close()
	mustSucceed(t, caller, "WRITE a 1")
	for _, i := range others {
		i.disconnected.Store(true)
	}
	owner.peers.silent.Store(true)
	standby.peers.silent.Store(true)
	r, err := caller.Query("WRITE a 2")
	require.NoError(t, err)
	require.Equal(t, "INDOUBT", r.Code, r.Text)
	r, err = caller.Query("WRITE a 3")
	require.NoError(t, err)
	require.Equal(t, "BUSY", r.Code, r.Text)
	owner.peers.silent.Store(false)
	standby.peers.silent.Store(false)
	for _, i := range others {
		i.disconnected.Store(false)
	}
}

// TestOutageEndsAtTheInstanceThatBecomesTheOwner silences the owner until its standby, which callers ask meanwhile, has taken the
// database over. When that hands the database over later, its callers must be served without a refusal.
func TestOutageEndsAtTheInstanceThatBecomesTheOwner(t *testing.T) {
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Configure(1, 1000)
	owner, standby, _ := awaitStandby(t, site, newDataCentre(t, site, 3))
	caller, err := fakepl.Dial(standby.callers, "primary")
	require.NoError(t, err)
	defer caller.Close()
	owner.peers.silent.Store(true)
	began := time.Now()
	for time.Since(began) < 4*time.Second {
		_ = fakepl.StatementSucceeds(standby.callers, "primary", "READ a")
	}
	require.Equal(t, string(standby.id), ownerOf(site))
	owner.peers.silent.Store(false)
	time.Sleep(500 * time.Millisecond)
	go standby.stop()
	require.Eventually(t, func() bool { return ownerOf(site) != string(standby.id) }, gracePeriod, time.Millisecond)
	for range 5 {
		mustSucceed(t, caller, "READ a")
	}
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

func mustSucceed(tb testing.TB, caller *fakepl.Client, statement string) {
	tb.Helper()
	r, err := caller.Query(statement)
	require.NoError(tb, err)
	require.Empty(tb, r.Code, r.Text)
}

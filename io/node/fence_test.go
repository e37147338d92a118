package node_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/fakepl"
)

// TestRefusedConnectionDoesNotProveThatAnOwnerHasStopped guards against promotions beside a live former owner, whose callers would read
// at the former primary. The owner is cut off from the store, and connections to it are refused, while the primary leaves: no member may
// be promoted before the owner has answered or its lease has ended.
func TestRefusedConnectionDoesNotProveThatAnOwnerHasStopped(t *testing.T) {
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Configure(1, 300)
	owner, _, _ := awaitStandby(t, site, newDataCentre(t, site, 3))
	owner.disconnected.Store(true)
	owner.peers.refuse(t)
	cut := time.Now()
	require.Eventually(t, func() bool { return ownerOf(site) != string(owner.id) }, 3*time.Second, 10*time.Millisecond)
	site.Group.Member("i-1").Drain()
	for time.Since(cut) < 6*time.Second {
		require.Empty(t, site.Group.PromotionTokens(), "promoted %s after the cut", time.Since(cut))
		time.Sleep(10 * time.Millisecond)
	}
	owner.peers.accept(t)
	require.Eventually(t, func() bool { return site.Group.Primary() != "i-1" }, 2*time.Second, 10*time.Millisecond)
	owner.disconnected.Store(false)
}

// TestPromotionWaitsForOpenTransactionsOfAnOwnerThatHasHandedOver guards against commits that are acknowledged and rolled back: an owner
// hands the database over at a planned stop while the primary leaves, and a caller's transaction goes on at the primary. No member may be
// promoted before that transaction has ended, and the transaction has time to end.
func TestPromotionWaitsForOpenTransactionsOfAnOwnerThatHasHandedOver(t *testing.T) {
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Group.DemoteDelay = 10 * time.Second
	site.Configure(1, 1000)
	owner := startInstanceWithGrace(t, site, "n1", disconnectedDelay, 6*time.Second)
	awaitWrite(t, owner.callers)
	next := startInstance(t, site, "n2")
	awaitWrite(t, next.callers)
	time.Sleep(discoveryTime)
	require.Equal(t, "n1", ownerOf(site))
	caller, err := fakepl.Dial(owner.callers, "primary")
	require.NoError(t, err)
	defer caller.Close()
	mustSucceed(t, caller, "BEGIN")
	mustSucceed(t, caller, "WRITE b 1")
	site.Group.Member("i-1").Drain()
	stopped := make(chan struct{})
	go func() { defer close(stopped); owner.stop() }()
	require.Eventually(t, func() bool { return ownerOf(site) == "n2" }, time.Second, 5*time.Millisecond)
	time.Sleep(time.Second)
	mustSucceed(t, caller, "COMMIT")
	require.Equal(t, "i-1", site.Group.Primary())
	require.Eventually(t, func() bool { return site.Group.Primary() != "i-1" }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, []string{"1"}, site.Group.CommittedValues("b"))
	<-stopped
}

// TestPromotionDoesNotWaitForAnOwnerThatHasHandedOverAndEnded stops the owner and then lets the primary crash. The former owner cannot be
// asked any more whether it has stopped; it has said so before its process ended.
func TestPromotionDoesNotWaitForAnOwnerThatHasHandedOverAndEnded(t *testing.T) {
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Configure(1, 300)
	owner, _, others := awaitStandby(t, site, newDataCentre(t, site, 2))
	require.Empty(t, others)
	owner.stop()
	require.NotEqual(t, string(owner.id), ownerOf(site))
	site.Group.Member("i-1").Crash()
	crashed := time.Now()
	require.Eventually(t, func() bool { return site.Group.Primary() != "i-1" }, 5*time.Second, 10*time.Millisecond)
	t.Logf("promoted %s after the crash", time.Since(crashed))
}

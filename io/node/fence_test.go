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

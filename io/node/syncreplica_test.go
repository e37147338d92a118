package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/fakepl"
)

// TestLeavingReplicaThatAloneHoldsAcknowledgedCommitsIsPromoted guards against the loss of acknowledged commits: with a synchronous
// replica, the replica that leaves holds them when the primary crashes, and the one that stays has received nothing. The one that leaves
// is promoted, serves until the other one has received all, and is replaced by that one.
func TestLeavingReplicaThatAloneHoldsAcknowledgedCommitsIsPromoted(t *testing.T) {
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.SyncReplicas = 1
	site.Configure(1, 300)
	instance := startInstance(t, site, "n1")
	awaitWrite(t, instance.callers)
	site.Group.Member("i-2").Drain()
	time.Sleep(entriesAge)
	site.Group.Member("i-3").SetDeaf(true)
	caller, err := fakepl.Dial(instance.callers, "primary")
	require.NoError(t, err)
	defer caller.Close()
	written := make([]string, 0, 10)
	for n := range 10 {
		value := fmt.Sprint(n)
		mustSucceed(t, caller, "WRITE b "+value)
		written = append(written, value)
	}
	site.Group.Member("i-1").Crash()
	require.Eventually(t, func() bool { return len(site.Group.PromotionTokens()) > 0 }, 5*time.Second, 10*time.Millisecond)
	awaitWrite(t, instance.callers)
	require.Equal(t, "i-2", site.Group.Primary())
	require.Equal(t, written, site.Group.CommittedValues("b"))
	refused := 0
	for range 50 {
		if !fakepl.StatementSucceeds(instance.callers, "primary", "WRITE a 1") {
			refused++
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.Zero(t, refused, "refused while no member that stays holds all commits")
	require.Len(t, site.Group.PromotionTokens(), 1)
	site.Group.Member("i-3").SetDeaf(false)
	require.Eventually(t, func() bool { return site.Group.Primary() == "i-3" }, 5*time.Second, 10*time.Millisecond)
	require.Equal(t, written, site.Group.CommittedValues("b"))
}

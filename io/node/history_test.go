package node_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/fakepl"
)

// historySite returns a site at which an old primary stays one until it is told to step down, and two instances that serve it.
func historySite(t *testing.T) (site *fakepl.Platform, owner, other *testInstance) {
	t.Helper()
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	t.Cleanup(site.Close)
	site.Group.DemoteDelay = time.Hour
	site.Configure(1, 300)
	owner, other, others := awaitStandby(t, site, newDataCentre(t, site, 2))
	require.Empty(t, others)
	return site, owner, other
}

// awaitPromotion waits until another member than the old one is the primary, and returns it with the third member.
func awaitPromotion(tb testing.TB, site *fakepl.Platform, old string) (promoted, third *fakepl.Member) {
	tb.Helper()
	require.Eventually(tb, func() bool { return site.Group.Primary() != old }, 10*time.Second, time.Millisecond)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		switch id {
		case site.Group.Primary():
			promoted = site.Group.Member(id)
		case old:
		default:
			third = site.Group.Member(id)
		}
	}
	return promoted, third
}

// TestCommitsThatAPromotionDroppedDoNotReturn guards against reads that lack commits which are in force again later: the primary crashes
// while both replicas receive nothing, and is back with its log when the next primary crashes. The third member, whose log is shorter, has
// to be promoted, whether the same instance owns the database or another one.
func TestCommitsThatAPromotionDroppedDoNotReturn(t *testing.T) {
	for _, name := range []string{"same owner", "other owner", "owner that did not see the promotion end"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site, owner, other := historySite(t)
			old := site.Group.Member("i-1")
			for _, id := range []string{"i-2", "i-3"} {
				site.Group.Member(id).SetDeaf(true)
			}
			caller, err := fakepl.Dial(other.callers, "primary")
			require.NoError(t, err)
			defer caller.Close()
			for range 20 {
				mustSucceed(t, caller, "WRITE b 1")
			}
			old.Crash()
			old.SetDeaf(true)
			promoted, third := awaitPromotion(t, site, "i-1")
			switch name {
			case "same owner":
				awaitWrite(t, other.callers)
			case "other owner":
				awaitWrite(t, other.callers)
				owner.stop()
				awaitWrite(t, other.callers)
			default:
				promoted.PartitionFrom(string(other.id))
				owner.stop()
			}
			require.NoError(t, old.Restart())
			promoted.Crash()
			require.Eventually(t, func() bool { return site.Group.Primary() != promoted.ID }, 10*time.Second, 10*time.Millisecond)
			awaitWrite(t, other.callers)
			require.Empty(t, site.Group.CommittedValues("b"), "dropped by the promotion of %s, in force at %s", promoted.ID, site.Group.Primary())
			require.Equal(t, third.ID, site.Group.Primary())
		})
	}
}

package node_test

import (
	"net/http"
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

// TestOldPrimaryIsPromotedBeforeItIsUsedAgain guards against writes at a primary that the platform has replaced. The primary is cut off from
// the instances, another member is promoted and lost for good with the third one. When the cut ends, the old primary is all that is left:
// it must not get a write in its old term.
func TestOldPrimaryIsPromotedBeforeItIsUsedAgain(t *testing.T) {
	for _, name := range []string{"served in the new term", "not served in the new term", "next owner"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site, owner, other := historySite(t)
			old := site.Group.Member("i-1")
			old.PartitionFrom(string(owner.id), string(other.id))
			promoted, third := awaitPromotion(t, site, "i-1")
			if name == "served in the new term" {
				awaitWrite(t, other.callers)
			}
			for _, m := range []*fakepl.Member{promoted, third} {
				m.Crash()
				site.Store.Delete("servers/" + m.ID)
			}
			if name == "next owner" {
				owner.stop()
			}
			time.Sleep(entriesAge)
			old.PartitionFrom()
			for returned := time.Now(); site.Group.Primary() != "i-1"; {
				require.Less(t, time.Since(returned), 20*time.Second, "not promoted")
				served := fakepl.StatementSucceeds(other.callers, "primary", "WRITE a 1")
				require.False(t, served && site.Group.Primary() != "i-1", "served in its old term")
			}
			awaitWrite(t, other.callers)
		})
	}
}

// TestPresentPrimaryServesOnWhenAPromotionFailedAndItsTargetIsLost lets the platform fail while the primary is cut off, and lose the other
// members for good. The platform accepts the promotion of its present primary and changes nothing: that one is used again in its term.
func TestPresentPrimaryServesOnWhenAPromotionFailedAndItsTargetIsLost(t *testing.T) {
	t.Parallel()
	site, owner, other := historySite(t)
	old := site.Group.Member("i-1")
	asked := make(chan string, 100)
	site.Store.Promote = func(_ string, token uint64, _, member string) int {
		asked <- member
		if member != "i-1" {
			return http.StatusInternalServerError
		}
		return site.Group.Promote(token, member)
	}
	old.PartitionFrom(string(owner.id), string(other.id))
	<-asked
	for _, id := range []string{"i-2", "i-3"} {
		site.Group.Member(id).Crash()
		site.Store.Delete("servers/" + id)
	}
	time.Sleep(entriesAge)
	old.PartitionFrom()
	require.Eventually(t, func() bool { return fakepl.StatementSucceeds(other.callers, "primary", "WRITE a 1") }, 15*time.Second, 20*time.Millisecond)
	require.Eventually(t, func() bool { p := recordOf(site).Promotion; return p.Void && p.Target == "i-1" }, 2*time.Second, 10*time.Millisecond)
	owner.stop()
	began := time.Now()
	awaitWrite(t, other.callers)
	require.Less(t, time.Since(began), 2*time.Second, "the next owner knows that the promotion had no effect")
}

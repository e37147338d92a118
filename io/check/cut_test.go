package check_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/check"
	"turmericpulley/io/fakekv"
)

// cutDuration is the time for which a link is cut.
const cutDuration = 3 * time.Second

// cutPrimary cuts the primary's links in the given directions for cutDuration under load.
func cutPrimary(t *testing.T, directions ...check.Direction) {
	t.Helper()
	f := check.NewFleet(t, check.DefaultLayout())
	primary := f.Members[0][0]
	underLoad(t, f, maxCutGap, func() {
		f.CutMember(primary, f.Instances, directions...)
		time.Sleep(cutDuration)
		f.HealMember(primary)
	})
}

func TestPrimaryRequestsAreDropped(t *testing.T) {
	t.Parallel()
	cutPrimary(t, check.Upstream)
}

func TestPrimaryResponsesAreDropped(t *testing.T) {
	t.Parallel()
	cutPrimary(t, check.Downstream)
}

func TestPrimaryIsCutOffInBothDirections(t *testing.T) {
	t.Parallel()
	cutPrimary(t, check.Upstream, check.Downstream)
}

// The primary is cut off from its replicas and from all instances but one, which does not own the database.
func TestPrimaryCutFromAllButOneInstance(t *testing.T) {
	t.Parallel()
	f := check.NewFleet(t, check.DefaultLayout())
	primary := f.Members[0][0]
	underLoad(t, f, maxCutGap, func() {
		connected := f.Others(f.Owner(0))[0]
		f.CutMember(primary, f.Others(connected), check.Upstream, check.Downstream)
		time.Sleep(cutDuration)
		f.HealMember(primary)
	})
}

func TestOwnerCutFromPeers(t *testing.T) {
	t.Parallel()
	f := check.NewFleet(t, check.DefaultLayout())
	owner := f.Owner(0)
	underLoad(t, f, maxCutGap, func() {
		owner.CutPeers(f.Others(owner))
		time.Sleep(cutDuration)
		f.HealPeers()
	})
}

// The owner is cut off from its peers and from every member, but not from its callers.
func TestOwnerCutFromPeersAndMembers(t *testing.T) {
	t.Parallel()
	f := check.NewFleet(t, check.DefaultLayout())
	owner := f.Owner(0)
	underLoad(t, f, maxCutGap, func() {
		owner.CutPeers(f.Others(owner))
		for _, link := range owner.MemberLinks {
			link.CutBoth()
		}
		time.Sleep(cutDuration)
		f.HealPeers()
		for _, link := range owner.MemberLinks {
			link.Heal()
		}
	})
}

func TestPlatformDownDuringPromotion(t *testing.T) {
	t.Parallel()
	f := check.NewFleet(t, check.DefaultLayout())
	underLoad(t, f, maxKillGap, func() {
		f.CutPlatform()
		f.Members[0][0].Kill()
		time.Sleep(cutDuration)
		f.HealPlatform()
	})
	require.NotEqual(t, f.Members[0][0], f.Primary(0))
}

func TestOwnerKilledWhilePlatformIsDown(t *testing.T) {
	t.Parallel()
	f := check.NewFleet(t, check.DefaultLayout())
	owner := f.Owner(0)
	underLoad(t, f, maxCutGap, func() {
		f.CutPlatform()
		owner.Kill()
		time.Sleep(cutDuration)
		f.HealPlatform()
	})
}

func TestOwnerKilledWhilePlatformLosesResponses(t *testing.T) {
	t.Parallel()
	f := check.NewFleet(t, check.DefaultLayout())
	owner := f.Owner(0)
	underLoad(t, f, maxCutGap, func() {
		f.Platform.SetFaults(fakekv.Faults{LoseResponses: 3, DelayMs: 100})
		owner.Kill()
	})
}

// All data on the owner's open connections to the primary is dropped for the rest of the test; new connections work.
func TestOwnerConnectionsToPrimaryAreBlackholed(t *testing.T) {
	t.Parallel()
	f := check.NewFleet(t, check.DefaultLayout())
	underLoad(t, f, maxBlackholeGap, f.Owner(0).MemberLinks[f.Members[0][0].Target].BlackholeOpenConns)
}

func TestConnectionsBetweenOwnerAndInstancesAreBlackholed(t *testing.T) {
	t.Parallel()
	f := check.NewFleet(t, check.DefaultLayout())
	owner := f.Owner(0)
	underLoad(t, f, maxBlackholeGap, func() {
		for _, i := range f.Others(owner) {
			i.PeerLinks[owner.ID].BlackholeOpenConns()
			owner.PeerLinks[i.ID].BlackholeOpenConns()
		}
	})
}

package check_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/check"
	"turmericpulley/io/fakekv"
)

// cutDuration is how long a cut lasts.
const cutDuration = 3 * time.Second

// cutPrimary cuts the primary off in the directions for a while.
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

func TestPrimaryReceivesNothing(t *testing.T) {
	t.Parallel()
	cutPrimary(t, check.Upstream)
}

func TestPrimaryIsNotHeard(t *testing.T) {
	t.Parallel()
	cutPrimary(t, check.Downstream)
}

func TestPrimaryCutOff(t *testing.T) {
	t.Parallel()
	cutPrimary(t, check.Upstream, check.Downstream)
}

// The primary stays reachable for one instance that does not own the database, and for that instance's callers.
func TestPrimaryCutFromAllButOneInstance(t *testing.T) {
	t.Parallel()
	f := check.NewFleet(t, check.DefaultLayout())
	primary := f.Members[0][0]
	underLoad(t, f, maxCutGap, func() {
		spared := f.Others(f.Owner(0))[0]
		f.CutMember(primary, f.Others(spared), check.Upstream, check.Downstream)
		time.Sleep(cutDuration)
		f.HealMember(primary)
	})
}

func TestOwnerCutFromItsPeers(t *testing.T) {
	t.Parallel()
	f := check.NewFleet(t, check.DefaultLayout())
	owner := f.Owner(0)
	underLoad(t, f, maxCutGap, func() {
		owner.CutPeers(f.Others(owner))
		time.Sleep(cutDuration)
		f.HealPeers()
	})
}

// The owner is cut from its peers and from every member, but not from its callers.
func TestOwnerCutOff(t *testing.T) {
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

func TestOwnerKilledWithThePlatformDown(t *testing.T) {
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

func TestOwnerKilledWhileThePlatformLosesAnswers(t *testing.T) {
	t.Parallel()
	f := check.NewFleet(t, check.DefaultLayout())
	owner := f.Owner(0)
	underLoad(t, f, maxCutGap, func() {
		f.Platform.SetFaults(fakekv.Faults{LoseResponses: 3, DelayMs: 100})
		owner.Kill()
	})
}

// Connections that are open go silent for good while new ones work.
func TestOwnerToPrimaryGoesSilent(t *testing.T) {
	t.Parallel()
	f := check.NewFleet(t, check.DefaultLayout())
	underLoad(t, f, maxBlackholeGap, f.Owner(0).MemberLinks[f.Members[0][0].Target].BlackholeOpenConns)
}

func TestInstancesToOwnerGoSilent(t *testing.T) {
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

package check_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/check"
)

func TestPrimaryCutInOneDirection(t *testing.T) {
	for name, direction := range map[string]check.Direction{"requests": check.Upstream, "answers": check.Downstream} {
		t.Run(name, func(t *testing.T) {
			f := check.NewFleet(t, check.DefaultLayout())
			primary := f.Members[0][0]
			underLoad(t, f, maxCutGap, func() {
				f.CutMember(primary, f.Instances, direction)
				time.Sleep(3 * time.Second)
				f.HealMember(primary)
			})
		})
	}
}

// The primary stays reachable for one instance that does not own the database, and for that instance's callers.
func TestPrimaryCutFromAllButOneInstance(t *testing.T) {
	f := check.NewFleet(t, check.DefaultLayout())
	primary := f.Members[0][0]
	underLoad(t, f, maxCutGap, func() {
		spared := f.Others(f.Owner(0))[0]
		f.CutMember(primary, f.Others(spared), check.Upstream, check.Downstream)
		time.Sleep(3 * time.Second)
		f.HealMember(primary)
	})
}

func TestOwnerCutFromItsPeers(t *testing.T) {
	f := check.NewFleet(t, check.DefaultLayout())
	owner := f.Owner(0)
	underLoad(t, f, maxCutGap, func() {
		owner.CutPeers(f.Others(owner))
		time.Sleep(3 * time.Second)
		for _, i := range f.Instances {
			for _, link := range i.Peers {
				link.Heal()
			}
		}
	})
}

func TestPlatformDownDuringPromotion(t *testing.T) {
	f := check.NewFleet(t, check.DefaultLayout())
	underLoad(t, f, maxKillGap, func() {
		f.CutPlatform()
		f.Members[0][0].Kill()
		time.Sleep(3 * time.Second)
		f.HealPlatform()
	})
	require.NotEqual(t, f.Members[0][0], f.Primary(0))
}

// Connections that are open go silent for good while new ones work, on each kind of link in turn.
func TestSilentConnections(t *testing.T) {
	f := check.NewFleet(t, check.DefaultLayout())
	owner := f.Owner(0)
	cases := map[string]func(){
		"owner to primary": func() { owner.Members[f.Members[0][0].Target].Silence() },
		"instance to owner": func() {
			for _, i := range f.Others(owner) {
				i.Peers[owner.ID].Silence()
				owner.Peers[i.ID].Silence()
			}
		},
	}
	for name, silence := range cases {
		t.Run(name, func(t *testing.T) {
			underLoad(t, f, maxCutGap, silence)
		})
	}
}

package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/fleet"
	"turmericpulley/core/policy"
	"turmericpulley/core/types"
)

// TestPlacesFollowTheOrderOfAllInstances lets instances come, leave and stop taking work, and compares each place with the order
// that ranks all of them again.
func TestPlacesFollowTheOrderOfAllInstances(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 1))
	self := fleet.Instance{ID: "self", State: fleet.Live}
	places := fleet.NewRanks(self)
	present := map[types.InstanceID]fleet.Instance{self.ID: self}
	for range 400 {
		i := fleet.Instance{ID: types.InstanceID(fmt.Sprintf("n%d", random.IntN(30))), State: fleet.Live}
		switch random.IntN(3) {
		case 0:
			places.Remove(i.ID)
			delete(present, i.ID)
		case 1:
			i.State = fleet.Leaving
			fallthrough
		default:
			places.Put(i)
			present[i.ID] = i
		}
		members := fleet.Membership{}
		for _, i := range present {
			members.Instances = append(members.Instances, i)
		}
		for d := range 8 {
			database := types.DatabaseID(fmt.Sprintf("db%d", d))
			leftOut := types.InstanceID(fmt.Sprintf("n%d", random.IntN(30)))
			want := 0
			for _, o := range members.OwnerCandidates(policy.Database{Database: database}) {
				if o.ID == self.ID {
					break
				}
				if o.ID != leftOut {
					want++
				}
			}
			require.Equal(t, want, places.Of(database, leftOut))
		}
	}
}

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

// TestRanksMatchOwnerCandidates adds, removes, resizes and marks instances as leaving in a random order. After each step it compares
// each rank with a new ranking of all instances.
func TestRanksMatchOwnerCandidates(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 1))
	self := fleet.Instance{ID: "self", State: fleet.Live, Processor: 200}
	ranks := fleet.NewRanks(self)
	present := map[types.InstanceID]fleet.Instance{self.ID: self}
	for range 400 {
		i := fleet.Instance{
			ID: types.InstanceID(fmt.Sprintf("n%d", random.IntN(30))), State: fleet.Live, Processor: types.Millicores(random.IntN(1000)),
		}
		switch random.IntN(3) {
		case 0:
			ranks.Remove(i.ID)
			delete(present, i.ID)
		case 1:
			i.State = fleet.Leaving
			fallthrough
		default:
			ranks.Put(i)
			present[i.ID] = i
		}
		members := fleet.Membership{}
		for _, i := range present {
			members.Instances = append(members.Instances, i)
		}
		for d := range 8 {
			database := types.DatabaseID(fmt.Sprintf("db%d", d))
			excluded := types.InstanceID(fmt.Sprintf("n%d", random.IntN(30)))
			want := 0
			for _, candidate := range members.OwnerCandidates(policy.Database{Database: database}) {
				if candidate.ID == self.ID {
					break
				}
				if candidate.ID != excluded {
					want++
				}
			}
			require.Equal(t, want, ranks.Of(database, excluded))
		}
	}
}

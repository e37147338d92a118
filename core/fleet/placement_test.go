package fleet_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/fleet"
	"turmericpulley/core/policy"
	"turmericpulley/core/types"
)

const (
	smallProcessor types.Millicores = 134
	largeProcessor types.Millicores = 800
)

// mixedFleet is a fleet of three data centres in which two machines of each have several times the processor time of the others.
func mixedFleet() fleet.Membership {
	members := fleet.Membership{}
	for d := range 3 {
		for k := range 36 {
			i := fleet.Instance{
				ID: types.InstanceID(fmt.Sprintf("z%d-%d", d, k)), DataCentre: types.DataCentre(fmt.Sprintf("z%d", d)),
				State: fleet.Live, Processor: smallProcessor,
			}
			if k < 2 {
				i.Processor = largeProcessor
			}
			members.Instances = append(members.Instances, i)
		}
	}
	return members
}

// TestDatabasesAreNotOwnedByMachinesThatAreTooSlowForThem guards against owners that cannot keep up while larger machines idle.
func TestDatabasesAreNotOwnedByMachinesThatAreTooSlowForThem(t *testing.T) {
	members := mixedFleet()
	for d := range 8 {
		database := policy.Database{Database: types.DatabaseID(fmt.Sprintf("db%d", d))}
		for rank, i := range members.OwnerCandidates(database) {
			require.Equal(t, rank < 6, i.Processor == largeProcessor, "%s at rank %d", i.ID, rank)
		}
	}
}

// TestOwnerThatIsTooSlowHandsItsDatabaseOver moves each database of a fleet whose small machines own all of them.
func TestOwnerThatIsTooSlowHandsItsDatabaseOver(t *testing.T) {
	members := mixedFleet()
	placement := fleet.Placement{Instances: members.Instances, Owned: map[types.InstanceID]int{}}
	owners := map[types.DatabaseID]fleet.Instance{}
	for d := range 8 {
		owner := members.Instances[36*(d%3)+10+d]
		owners[types.DatabaseID(fmt.Sprintf("db%d", d))] = owner
		placement.Owned[owner.ID]++
	}
	primary := func(database types.DatabaseID) types.DataCentre {
		return types.DataCentre(fmt.Sprintf("z%d", database[len(database)-1]%3))
	}
	moves := 0
	for moved := true; moved; {
		moved = false
		for database, owner := range owners {
			successors := placement.Successors(owner, database, primary(database))
			if len(successors) == 0 {
				continue
			}
			moved = true
			moves++
			placement.Owned[owner.ID]--
			placement.Owned[successors[0].ID]++
			owners[database] = successors[0]
		}
		require.Less(t, moves, 24, "databases move back and forth")
	}
	for database, owner := range owners {
		require.Equal(t, largeProcessor, owner.Processor, "%s is owned by %s", database, owner.ID)
		require.Equal(t, primary(database), owner.DataCentre)
		require.LessOrEqual(t, placement.Owned[owner.ID], 2)
	}
}

func TestOwnerInAnotherDataCentreThanThePrimaryMovesToIt(t *testing.T) {
	members := mixedFleet()
	placement := fleet.Placement{Instances: members.Instances, Owned: map[types.InstanceID]int{"z0-0": 1}}
	successors := placement.Successors(members.Instances[0], "db", "z1")
	require.Len(t, successors, 2)
	for _, i := range successors {
		require.Equal(t, types.DataCentre("z1"), i.DataCentre)
		require.Equal(t, largeProcessor, i.Processor)
	}
}

// TestOwnerDoesNotMoveToASmallerMachineNearThePrimary has large machines near the primary that do not answer, or have databases enough.
func TestOwnerDoesNotMoveToASmallerMachineNearThePrimary(t *testing.T) {
	placement := fleet.Placement{Instances: mixedFleet().Instances, Owned: map[types.InstanceID]int{"z0-0": 4, "z1-0": 5, "z1-1": 5}}
	for _, i := range placement.Successors(placement.Instances[0], "db", "z1") {
		require.Equal(t, largeProcessor, i.Processor, "%s", i.ID)
	}
}

// TestLargeOwnerStaysWhereThePrimaryHasOnlySmallMachines has no large machine in the data centre of the primary.
func TestLargeOwnerStaysWhereThePrimaryHasOnlySmallMachines(t *testing.T) {
	members := mixedFleet()
	for k := range members.Instances {
		if members.Instances[k].DataCentre == "z1" {
			members.Instances[k].Processor = smallProcessor
		}
	}
	placement := fleet.Placement{Instances: members.Instances, Owned: map[types.InstanceID]int{"z0-0": 1, "z1-5": 1}}
	require.Empty(t, placement.Successors(members.Instances[0], "db", "z1"))
	successors := placement.Successors(members.Instances[36+5], "db", "z1")
	require.NotEmpty(t, successors)
	require.Equal(t, largeProcessor, successors[0].Processor)
}

func TestOwnersOfOneSizeStayWhereTheyAre(t *testing.T) {
	placement := fleet.Placement{Owned: map[types.InstanceID]int{"n0": 3, "n1": 1, "n2": 1}}
	for k := range 9 {
		placement.Instances = append(placement.Instances, fleet.Instance{
			ID: types.InstanceID(fmt.Sprintf("n%d", k)), DataCentre: types.DataCentre(fmt.Sprintf("z%d", k%3)), State: fleet.Live, Processor: 400,
		})
	}
	for k := range 3 {
		require.Empty(t, placement.Successors(placement.Instances[k], "db", placement.Instances[k].DataCentre))
	}
}

package fleet_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"turmericpulley/core/fleet"
	"turmericpulley/core/policy"
	"turmericpulley/core/types"
)

// membershipOf returns a membership of size live instances in three data centres.
func membershipOf(size int) fleet.Membership {
	members := fleet.Membership{Revision: 7}
	for index := range size {
		members, _ = members.With([]fleet.Change{fleet.Join{Instance: instance(index)}})
	}
	return members
}

func instance(index int) fleet.Instance {
	return fleet.Instance{
		ID:          types.InstanceID(fmt.Sprintf("i%d", index)),
		DataCentre:  types.DataCentre(fmt.Sprintf("dc-%d", index%3)),
		Incarnation: 1,
		State:       fleet.Live,
	}
}

func database(index int, dataCentres ...types.DataCentre) policy.Database {
	d := policy.Database{Database: types.DatabaseID(fmt.Sprintf("db-%d", index))}
	for _, dc := range dataCentres {
		d.Members = append(d.Members, policy.Member{DataCentre: dc})
	}
	return d
}

func TestOwnershipMovesOnlyFromTheInstanceThatLeaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 40).Draw(t, "size")
		before := membershipOf(size)
		leaver := before.Instances[rapid.IntRange(0, size-1).Draw(t, "gone")]
		change := rapid.SampledFrom([]fleet.Change{
			fleet.Remove{ID: leaver.ID, Incarnation: 1}, fleet.Leave{ID: leaver.ID, Incarnation: 1},
		}).Draw(t, "change")
		after, changed := before.With([]fleet.Change{change})
		require.True(t, changed)
		for index := range 50 {
			old, now := before.OwnerCandidates(database(index)), after.OwnerCandidates(database(index))
			require.Len(t, now, size-1)
			if old[0].ID == leaver.ID {
				require.Equal(t, old[1].ID, now[0].ID, "the second in rank takes over")
				continue
			}
			require.Equal(t, old[0].ID, now[0].ID)
		}
	})
}

func TestOwnersAreSpreadEvenlyOverInstancesNearTheMembers(t *testing.T) {
	members := membershipOf(30)
	owned := map[types.InstanceID]int{}
	for index := range 3000 {
		owner := members.OwnerCandidates(database(index, "dc-1"))[0]
		require.Equal(t, types.DataCentre("dc-1"), owner.DataCentre)
		owned[owner.ID]++
	}
	require.Len(t, owned, 10)
	for _, count := range owned {
		require.InDelta(t, 300, count, 100)
	}
	require.Len(t, members.OwnerCandidates(database(0, "elsewhere")), 30, "any instance may own it when none is near a member")
}

func TestMembershipIgnoresChangesOfEarlierIncarnations(t *testing.T) {
	members := membershipOf(3)
	later := instance(1)
	later.Incarnation = 5
	members, changed := members.With([]fleet.Change{fleet.Join{Instance: later}})
	require.True(t, changed)
	for _, late := range []fleet.Change{
		fleet.Join{Instance: instance(1)}, fleet.Remove{ID: "i1", Incarnation: 1}, fleet.Leave{ID: "i1", Incarnation: 1},
	} {
		require.True(t, members.IsNoOp(late), "%T", late)
	}
	value, err := members.Encode()
	require.NoError(t, err)
	decoded, err := fleet.DecodeMembership(value, members.Revision)
	require.NoError(t, err)
	require.Equal(t, members, decoded)
}

func TestEveryInstanceIsMonitoredAndChangesSpreadInFewHops(t *testing.T) {
	for _, size := range []int{2, 9, 40, 315} {
		members := membershipOf(size)
		monitors := map[types.InstanceID]int{}
		for _, i := range members.Instances {
			peers := members.HeartbeatPeers(i.ID)
			require.Len(t, peers, min(size-1, 8))
			require.False(t, fleet.ContainsID(peers, i.ID))
			for _, peer := range peers {
				monitors[peer.ID]++
			}
		}
		for _, i := range members.Instances {
			require.GreaterOrEqual(t, monitors[i.ID], min(size-1, 2), "instances that monitor %s of %d", i.ID, size)
		}
		require.LessOrEqual(t, maxHops(members), 5)
	}
}

// maxHops returns the largest number of hops that a change takes to an instance. Each instance learns the change from its
// heartbeat peers.
func maxHops(members fleet.Membership) int {
	longest := 0
	for _, start := range members.Instances {
		reached := map[types.InstanceID]int{start.ID: 0}
		for queue := []types.InstanceID{start.ID}; len(queue) > 0; queue = queue[1:] {
			for _, next := range members.HeartbeatPeers(queue[0]) {
				if _, known := reached[next.ID]; !known {
					reached[next.ID] = reached[queue[0]] + 1
					longest = max(longest, reached[next.ID])
					queue = append(queue, next.ID)
				}
			}
		}
		if len(reached) < len(members.Instances) {
			return len(members.Instances)
		}
		if len(members.Instances) > 100 && start.ID > "i12" {
			break
		}
	}
	return longest
}

func TestBroadcastTreeReachesEveryInstanceOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := membershipOf(rapid.IntRange(1, 200).Draw(t, "size"))
		root := rapid.SampledFrom(members.Instances).Draw(t, "root")
		reached := map[types.InstanceID]bool{root.ID: true}
		for queue := []types.InstanceID{root.ID}; len(queue) > 0; queue = queue[1:] {
			for _, child := range fleet.BroadcastChildren(members.Instances, root.ID, queue[0]) {
				require.False(t, reached[child.ID])
				reached[child.ID] = true
				queue = append(queue, child.ID)
			}
		}
		require.Len(t, reached, len(members.Instances))
	})
}

// TestStoreReadersAreMachinesWithTheMostProcessorTime guards against data centres whose changes wait for one of their smallest machines.
func TestStoreReadersAreMachinesWithTheMostProcessorTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := membershipOf(rapid.IntRange(40, 60).Draw(t, "size"))
		large := map[types.InstanceID]bool{}
		local := members.LiveIn("dc-1")
		for len(large) < 2 {
			large[local[rapid.IntRange(0, len(local)-1).Draw(t, "large")].ID] = true
		}
		for i := range members.Instances {
			members.Instances[i].Processor = 134
			if large[members.Instances[i].ID] {
				members.Instances[i].Processor = 800
			}
		}
		for _, r := range members.StoreReaders("dc-1") {
			require.Contains(t, large, r.ID)
		}
	})
}

func TestStoreReadersStayWhenAnotherInstanceLeaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 60).Draw(t, "size")
		before := membershipOf(size)
		readers := before.StoreReaders("dc-1")
		if len(before.LiveIn("dc-1")) < 10 {
			require.Empty(t, readers, "each instance reads the store itself")
			return
		}
		require.Len(t, readers, 2)
		leaver := before.Instances[rapid.IntRange(0, size-1).Draw(t, "gone")]
		after, _ := before.With([]fleet.Change{fleet.Remove{ID: leaver.ID, Incarnation: 1}})
		if len(after.LiveIn("dc-1")) < 10 {
			return
		}
		for _, r := range readers {
			require.Equal(t, types.DataCentre("dc-1"), r.DataCentre)
			if r.ID != leaver.ID {
				require.Contains(t, after.StoreReaders("dc-1"), r)
			}
		}
	})
}

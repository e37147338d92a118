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
	// instancesPerRegion and databasesPerRegion are the sizes expected in two years: 2,200 and 23,000 in 7 regions.
	instancesPerRegion = 314
	databasesPerRegion = 3_286
	allDatabases       = 23_000
)

// regionMembership returns the membership of a region, with addresses of realistic length.
func regionMembership(b *testing.B) fleet.Membership {
	b.Helper()
	members := membershipOf(instancesPerRegion)
	for index := range members.Instances {
		members.Instances[index].PeerAddress = fmt.Sprintf("10.20.%d.%d:7400", index>>8, index&255)
		members.Instances[index].HTTPAddress = fmt.Sprintf("10.20.%d.%d:9400", index>>8, index&255)
		members.Instances[index].Incarnation = fleet.Incarnation(1_790_000_000_000 + index)
	}
	return members
}

// BenchmarkOwnerCandidatesOfAllDatabases ranks the instances for every database, as each instance does after each change of
// the membership.
func BenchmarkOwnerCandidatesOfAllDatabases(b *testing.B) {
	for _, count := range []int{databasesPerRegion, allDatabases} {
		b.Run(fmt.Sprintf("databases=%d", count), func(b *testing.B) {
			members := regionMembership(b)
			databases := make([]policy.Database, 0, count)
			for index := range count {
				databases = append(databases, database(index, "dc-0", "dc-1", "dc-2"))
			}
			for b.Loop() {
				for _, d := range databases {
					members.OwnerCandidates(d)
				}
			}
		})
	}
}

// BenchmarkMembershipChange decodes, changes and encodes a membership, which is the work of one change.
func BenchmarkMembershipChange(b *testing.B) {
	value, err := regionMembership(b).Encode()
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		members, err := fleet.DecodeMembership(value, 7)
		require.NoError(b, err)
		members, _ = members.With([]fleet.Change{fleet.Remove{ID: "i7", Incarnation: members.Instances[0].Incarnation}})
		_, err = members.Encode()
		require.NoError(b, err)
	}
	b.ReportMetric(float64(len(value)), "B/value")
}

// BenchmarkDataCentreLost counts the databases that change owner when a data centre of the region is lost, and the
// largest number that one surviving instance takes over.
func BenchmarkDataCentreLost(b *testing.B) {
	members := regionMembership(b)
	removals := make([]fleet.Change, 0, instancesPerRegion)
	for _, i := range members.LiveIn("dc-0") {
		removals = append(removals, fleet.Remove{ID: i.ID, Incarnation: i.Incarnation})
	}
	for b.Loop() {
		survivors, _ := members.With(removals)
		moved, takenOver := 0, map[types.InstanceID]int{}
		for index := range databasesPerRegion {
			d := database(index, "dc-0", "dc-1", "dc-2")
			before, after := members.OwnerCandidates(d)[0].ID, survivors.OwnerCandidates(d)[0].ID
			if before != after {
				moved++
				takenOver[after]++
			}
		}
		most := 0
		for _, count := range takenOver {
			most = max(most, count)
		}
		b.ReportMetric(float64(moved), "databases-moved")
		b.ReportMetric(float64(most), "most-for-one")
	}
}

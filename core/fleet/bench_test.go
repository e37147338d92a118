package fleet_test

import "testing"

// BenchmarkRanked orders the instances near a database in a region of 315.
func BenchmarkRanked(b *testing.B) {
	members, wanted := membersOf(315), database(1, "dc-1")
	b.ReportAllocs()
	for b.Loop() {
		members.OwnerCandidates(wanted)
	}
}

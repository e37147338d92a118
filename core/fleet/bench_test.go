package fleet_test

import "testing"

// BenchmarkOwnerCandidates ranks the instances near one database in a region of 315 instances.
func BenchmarkOwnerCandidates(b *testing.B) {
	members, db := membershipOf(315), database(1, "dc-1")
	b.ReportAllocs()
	for b.Loop() {
		members.OwnerCandidates(db)
	}
}

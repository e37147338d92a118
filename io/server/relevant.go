package server

import (
	"slices"

	"turmericpulley/core/fleet"
	"turmericpulley/core/policy"
	"turmericpulley/core/quorum"
	"turmericpulley/core/types"
)

// reconciledRanks is how many ranks a database's instances watch it for; the others wait to be asked.
const reconciledRanks = 4

// candidateDatabases keeps the databases that this instance may come to own, with their ranked instances, for one membership and
// one set of groups; it belongs to one goroutine.
type candidateDatabases struct {
	membershipRevision types.Revision
	groupsRevision     types.Revision
	databases          []types.DatabaseID
	ranked             map[types.DatabaseID][]fleet.Instance
}

// refresh ranks all databases anew when the membership or the groups have changed.
func (r *candidateDatabases) refresh(m *ownershipManager) {
	members, book := m.network.Membership(), m.network.Documents()
	groups := book.Revisions().Groups
	if r.ranked != nil && r.membershipRevision == members.Revision && r.groupsRevision == groups {
		return
	}
	*r = candidateDatabases{membershipRevision: members.Revision, groupsRevision: groups, ranked: map[types.DatabaseID][]fleet.Instance{}}
	for _, id := range book.Databases() {
		group, database, ok := book.Database(id)
		if !ok || !m.inOwnRegion(group) {
			continue
		}
		ranked := rankedCandidates(members, database)
		if rank := fleet.IndexOf(ranked, m.self); rank >= 0 && rank < reconciledRanks {
			r.databases = append(r.databases, id)
			r.ranked[id] = ranked
		}
	}
}

// rankedCandidates returns the instances that may own the database, the owner first.
func rankedCandidates(members fleet.Membership, database policy.Database) []fleet.Instance {
	ranked := members.OwnerCandidates(database)
	return slices.Clone(ranked[:min(len(ranked), quorum.MaxRank)])
}

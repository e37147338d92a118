package server

import (
	"slices"

	"turmericpulley/core/fleet"
	"turmericpulley/core/policy"
	"turmericpulley/core/quorum"
	"turmericpulley/core/types"
)

// reconciledRanks is the number of top ranks whose instances take over a database by themselves. An instance of a lower rank
// does so only when a transaction is sent to it.
const reconciledRanks = 4

// candidateDatabases caches the databases that this instance may have to take over, with their ranked instances, for one
// revision of the membership and of the groups. Only one goroutine uses it.
type candidateDatabases struct {
	membershipRevision types.Revision
	groupsRevision     types.Revision
	databases          []types.DatabaseID
	ranked             map[types.DatabaseID][]fleet.Instance
}

// refresh ranks the instances of all databases again when the membership or the groups have changed.
func (c *candidateDatabases) refresh(m *ownershipManager) {
	members, documents := m.network.Membership(), m.network.Documents()
	groups := documents.Revisions().Groups
	if c.ranked != nil && c.membershipRevision == members.Revision && c.groupsRevision == groups {
		return
	}
	*c = candidateDatabases{membershipRevision: members.Revision, groupsRevision: groups, ranked: map[types.DatabaseID][]fleet.Instance{}}
	for _, id := range documents.Databases() {
		group, database, ok := documents.Database(id)
		if !ok || !m.inOwnRegion(group) {
			continue
		}
		ranked := rankedCandidates(members, database)
		if rank := fleet.IndexOf(ranked, m.self); rank >= 0 && rank < reconciledRanks {
			c.databases = append(c.databases, id)
			c.ranked[id] = ranked
		}
	}
}

// rankedCandidates returns the instances that may own the database, in order of rank.
func rankedCandidates(members fleet.Membership, database policy.Database) []fleet.Instance {
	ranked := members.OwnerCandidates(database)
	return slices.Clone(ranked[:min(len(ranked), quorum.RankCount)])
}

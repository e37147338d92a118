package server

import (
	"slices"

	"turmericpulley/core/fleet"
	"turmericpulley/core/policy"
	"turmericpulley/core/quorum"
	"turmericpulley/core/types"
)

// relevantRanks is how many ranks a database's instances watch it for; the others wait to be asked.
const relevantRanks = 4

// relevant keeps the databases that this instance may come to own, with their ranked instances, for one membership and
// one set of groups; it belongs to one goroutine.
type relevant struct {
	members   types.Revision
	groups    types.Revision
	databases []types.DatabaseID
	ranked    map[types.DatabaseID][]fleet.Instance
}

// refresh ranks all databases anew when the membership or the groups have changed.
func (r *relevant) refresh(m *owners) {
	members, book := m.network.Membership(), m.network.Book()
	groups := book.Revisions().Groups
	if r.ranked != nil && r.members == members.Revision && r.groups == groups {
		return
	}
	*r = relevant{members: members.Revision, groups: groups, ranked: map[types.DatabaseID][]fleet.Instance{}}
	for _, id := range book.Databases() {
		group, database, ok := book.Database(id)
		if !ok || !m.ownedHere(group) {
			continue
		}
		ranked := rankedOwners(members, database)
		if rank := fleet.IndexOf(ranked, m.self); rank >= 0 && rank < relevantRanks {
			r.databases = append(r.databases, id)
			r.ranked[id] = ranked
		}
	}
}

// rankedOwners returns the instances that may own the database, the owner first.
func rankedOwners(members fleet.Membership, database policy.Database) []fleet.Instance {
	ranked := members.OwnerCandidates(database)
	return slices.Clone(ranked[:min(len(ranked), quorum.MaxRank)])
}

package fleet

import (
	"slices"

	"turmericpulley/core/policy"
	"turmericpulley/core/types"
)

// maxRanks is the number of ranks that share one revision in the numbering of epochs.
const maxRanks = 16

// Ranked returns the instances that may own the database, the owner first.
func (m Membership) Ranked(database policy.Database) []Instance {
	live := m.Live()
	near := slices.DeleteFunc(slices.Clone(live), func(i Instance) bool { return !hasMemberIn(database, i.DataCentre) })
	if len(near) == 0 {
		near = live
	}
	return rank(string(database.Database), near)
}

// OwnerEpoch returns the epoch under which an instance of the rank owns a database; ranks from 16 on share the last.
func OwnerEpoch(revision types.Revision, rank int) types.Epoch {
	return types.Epoch(revision)*maxRanks + types.Epoch(min(rank, maxRanks-1))
}

func hasMemberIn(database policy.Database, dataCentre types.DataCentre) bool {
	return slices.ContainsFunc(database.Members, func(m policy.Member) bool { return m.DataCentre == dataCentre })
}

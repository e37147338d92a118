package fleet

import (
	"slices"

	"turmericpulley/core/policy"
	"turmericpulley/core/types"
)

// Ranked returns the instances that may own the database, the owner first.
func (m Membership) Ranked(database policy.Database) []Instance {
	live := m.Live()
	near := slices.DeleteFunc(slices.Clone(live), func(i Instance) bool { return !hasMemberIn(database, i.DataCentre) })
	if len(near) == 0 {
		near = live
	}
	return rank(string(database.Database), near)
}

func hasMemberIn(database policy.Database, dataCentre types.DataCentre) bool {
	return slices.ContainsFunc(database.Members, func(m policy.Member) bool { return m.DataCentre == dataCentre })
}

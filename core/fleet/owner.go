package fleet

import (
	"slices"

	"turmericpulley/core/policy"
	"turmericpulley/core/types"
)

// OwnerCandidates returns the instances that may own the database, the owner first; callers on the path of requests keep the
// answer for as long as the revision stays.
func (m Membership) OwnerCandidates(database policy.Database) []Instance {
	near := make([]Instance, 0, len(m.Instances))
	for _, i := range m.Instances {
		if i.State == Live && hasMemberIn(database, i.DataCentre) {
			near = append(near, i)
		}
	}
	if len(near) == 0 {
		near = m.Live()
	}
	return rank(string(database.Database), near)
}

func hasMemberIn(database policy.Database, dataCentre types.DataCentre) bool {
	return slices.ContainsFunc(database.Members, func(m policy.Member) bool { return m.DataCentre == dataCentre })
}

package fleet

import (
	"slices"

	"turmericpulley/core/policy"
	"turmericpulley/core/types"
)

// OwnerCandidates returns the instances that may own the database, the owner first: the live ones in data centres that hold
// a member of it, or all live ones when that leaves none. Those with more processor time come first. It ranks all of them on
// each call, so callers that serve requests cache the result until the revision changes.
func (m Membership) OwnerCandidates(database policy.Database) []Instance {
	nearby := make([]Instance, 0, len(m.Instances))
	for _, i := range m.Instances {
		if i.State == Live && hasMemberIn(database, i.DataCentre) {
			nearby = append(nearby, i)
		}
	}
	if len(nearby) == 0 {
		nearby = m.Live()
	}
	return rankByProcessor(string(database.Database), nearby)
}

func hasMemberIn(database policy.Database, dataCentre types.DataCentre) bool {
	return slices.ContainsFunc(database.Members, func(m policy.Member) bool { return m.DataCentre == dataCentre })
}

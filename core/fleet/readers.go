package fleet

import "turmericpulley/core/types"

const (
	// readersPerDataCentre is the number of instances of a data centre that follow the store for the others: one may fail.
	readersPerDataCentre = 2
	// leastFollowed is the number of instances from which a data centre has readers: a reader makes 1.4 calls a second for its
	// followers, an instance without readers 0.4 for itself, so that two readers pay from 8 instances on.
	leastFollowed = 10
	// readersKey names the order of the instances in rendezvous hashing.
	readersKey = "readers"
)

// Readers returns the instances of the data centre that follow the store for the others; none when each follows it itself.
// The calls to the store then grow with the data centres, not with the instances.
func (m Membership) Readers(dataCentre types.DataCentre) []Instance {
	near := m.LiveIn(dataCentre)
	if len(near) < leastFollowed {
		return nil
	}
	return rank(readersKey, near)[:readersPerDataCentre]
}

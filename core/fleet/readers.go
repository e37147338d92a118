package fleet

import "turmericpulley/core/types"

const (
	// storeReadersPerDataCentre is the number of instances of a data centre that follow the store for the others: one may fail.
	storeReadersPerDataCentre = 2
	// minInstancesForStoreReaders is the number of instances from which a data centre has readers: a reader makes 1.4 calls a second for its
	// followers, an instance without readers 0.4 for itself, so that two readers pay from 8 instances on.
	minInstancesForStoreReaders = 10
	// storeReadersKey names the order of the instances in rendezvous hashing.
	storeReadersKey = "readers"
)

// StoreReaders returns the instances of the data centre that follow the store for the others; none when each follows it itself.
// The calls to the store then grow with the data centres, not with the instances.
func (m Membership) StoreReaders(dataCentre types.DataCentre) []Instance {
	near := m.LiveIn(dataCentre)
	if len(near) < minInstancesForStoreReaders {
		return nil
	}
	return rank(storeReadersKey, near)[:storeReadersPerDataCentre]
}

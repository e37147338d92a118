package fleet

import "turmericpulley/core/types"

const (
	// storeReadersPerDataCentre is the number of instances of a data centre that read the store for the others. With two, one
	// may fail.
	storeReadersPerDataCentre = 2
	// minInstancesForStoreReaders is the number of instances from which a data centre has store readers. A reader makes 1.4
	// calls a second to the store; an instance without readers makes 0.4. Two readers therefore save calls from 8 instances on.
	minInstancesForStoreReaders = 10
	// storeReadersKey is the key by which rendezvous hashing ranks the instances.
	storeReadersKey = "readers"
)

// StoreReaders returns the instances of the data centre that read the store and pass its changes on to the others there. It
// returns none in a small data centre, where each instance reads the store itself. With readers, the calls to the store grow
// with the number of data centres, not of instances.
func (m Membership) StoreReaders(dataCentre types.DataCentre) []Instance {
	live := m.LiveIn(dataCentre)
	if len(live) < minInstancesForStoreReaders {
		return nil
	}
	// The copy of every follower is as late as that of its reader, so the machines with the most processor time come first.
	return rankByProcessor(storeReadersKey, live)[:storeReadersPerDataCentre]
}

package fleet

import (
	"slices"

	"turmericpulley/core/types"
)

const (
	// proposersPerRegion is the number of instances that may write changes of the membership after a failure.
	proposersPerRegion = 3
	// storeWatchersPerDataCentre is the number of instances of a data centre that watch the store.
	storeWatchersPerDataCentre = 2
)

// Proposers returns the instances that may write changes of the membership, by rank and without the suspected ones.
func (m Membership) Proposers(region types.Region, suspects []types.InstanceID) []Instance {
	candidates := slices.DeleteFunc(m.Live(), func(i Instance) bool { return slices.Contains(suspects, i.ID) })
	ranked := rank(string(region), candidates)
	return ranked[:min(len(ranked), proposersPerRegion)]
}

// StoreWatchers returns the instances of the data centre that watch the store on behalf of the others there, where package
// peers connects the instances. Where package node does, StoreReaders is used instead.
func (m Membership) StoreWatchers(dataCentre types.DataCentre) []Instance {
	ranked := rank(string(dataCentre), m.LiveIn(dataCentre))
	return ranked[:min(len(ranked), storeWatchersPerDataCentre)]
}

// ContainsID reports whether one of the instances has the id.
func ContainsID(instances []Instance, id types.InstanceID) bool { return IndexOf(instances, id) >= 0 }

// IndexOf returns the index of the instance with the id, or -1.
func IndexOf(instances []Instance, id types.InstanceID) int {
	return slices.IndexFunc(instances, func(i Instance) bool { return i.ID == id })
}

package fleet

import (
	"slices"

	"turmericpulley/core/types"
)

const (
	// proposersPerRegion is the number of instances that may write a membership after a failure.
	proposersPerRegion = 3
	// storeWatchersPerDataCentre is the number of instances of a data centre that watch the store.
	storeWatchersPerDataCentre = 2
)

// Proposers returns the instances that write changes of the membership, the first in rank first, without the suspects.
func (m Membership) Proposers(region types.Region, suspects []types.InstanceID) []Instance {
	able := slices.DeleteFunc(m.Live(), func(i Instance) bool { return slices.Contains(suspects, i.ID) })
	ranked := rank(string(region), able)
	return ranked[:min(len(ranked), proposersPerRegion)]
}

// StoreWatchers returns the instances of the data centre that watch the store for all others there.
func (m Membership) StoreWatchers(dataCentre types.DataCentre) []Instance {
	ranked := rank(string(dataCentre), m.LiveIn(dataCentre))
	return ranked[:min(len(ranked), storeWatchersPerDataCentre)]
}

// ContainsID reports whether the instances contain the id.
func ContainsID(instances []Instance, id types.InstanceID) bool { return IndexOf(instances, id) >= 0 }

// IndexOf returns the place of the id among the instances, or -1.
func IndexOf(instances []Instance, id types.InstanceID) int {
	return slices.IndexFunc(instances, func(i Instance) bool { return i.ID == id })
}

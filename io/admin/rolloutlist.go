package admin

import (
	"slices"
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
)

// setListed gives each region the live instances that the platform lists in the region's data centres, and those that it
// lists in data centres where no region has members.
func (t *rolloutTracker) setListed(listed []fleet.ListEntry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, region := range t.regions {
		region.progress.SetListed(t.listedInRegion(region.members, listed), now)
	}
}

// listedInRegion returns the ids of the instances that setListed gives to a region. It returns none when no live instance of the
// list has the id of a member: the ids of the list are then not comparable with those of the members.
func (t *rolloutTracker) listedInRegion(members fleet.Membership, listed []fleet.ListEntry) []types.InstanceID {
	var ids []types.InstanceID
	matches := false
	for _, entry := range listed {
		if entry.Kind != fleet.InstanceEntry || entry.State != fleet.Live {
			continue
		}
		if _, member := members.Find(types.InstanceID(entry.ID)); member {
			matches = true
		}
		if inDataCentre(members, entry.DataCentre) || !t.hasMembersIn(entry.DataCentre) {
			ids = append(ids, types.InstanceID(entry.ID))
		}
	}
	if !matches {
		return nil
	}
	return ids
}

// hasMembersIn reports whether any region has members in the data centre.
func (t *rolloutTracker) hasMembersIn(dataCentre types.DataCentre) bool {
	for _, region := range t.regions {
		if inDataCentre(region.members, dataCentre) {
			return true
		}
	}
	return false
}

func inDataCentre(members fleet.Membership, dataCentre types.DataCentre) bool {
	return slices.ContainsFunc(members.Instances, func(i fleet.Instance) bool { return i.DataCentre == dataCentre })
}

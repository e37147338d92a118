package admin

import (
	"slices"
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
)

// setListed gives each region the live instances that the platform lists in its data centres, and those that it lists in
// data centres where no region has members.
func (s *rolloutTracker) setListed(listed []fleet.ListEntry, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, followed := range s.regions {
		followed.progress.SetListed(s.listedInRegion(followed.members, listed), now)
	}
}

// listedInRegion returns the listed instances of a region; a list that names none of the members by their ids is not used.
func (s *rolloutTracker) listedInRegion(members fleet.Membership, listed []fleet.ListEntry) []types.InstanceID {
	var ids []types.InstanceID
	matches := false
	for _, line := range listed {
		if line.Kind != fleet.InstanceEntry || line.State != fleet.Live {
			continue
		}
		if _, member := members.Find(types.InstanceID(line.ID)); member {
			matches = true
		}
		if inDataCentre(members, line.DataCentre) || !s.hasMembersIn(line.DataCentre) {
			ids = append(ids, types.InstanceID(line.ID))
		}
	}
	if !matches {
		return nil
	}
	return ids
}

// hasMembersIn reports whether any region has members in the data centre.
func (s *rolloutTracker) hasMembersIn(dataCentre types.DataCentre) bool {
	for _, followed := range s.regions {
		if inDataCentre(followed.members, dataCentre) {
			return true
		}
	}
	return false
}

func inDataCentre(members fleet.Membership, dataCentre types.DataCentre) bool {
	return slices.ContainsFunc(members.Instances, func(i fleet.Instance) bool { return i.DataCentre == dataCentre })
}

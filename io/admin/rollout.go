package admin

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"turmericpulley/core/accept"
	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
)

// sampleSize is the number of instances of a region that are queried in each poll while most instances are not known to have
// the change in force.
const sampleSize = 2

// rolloutTracker tracks which instances of all regions have a change in force; it is safe for concurrent use.
type rolloutTracker struct {
	mu       sync.Mutex
	storedAt time.Time
	// regions is keyed by the key of the region's membership document.
	regions map[string]*regionRollout
}

// regionRollout tracks the change in one region.
type regionRollout struct {
	progress *accept.Progress
	members  fleet.Membership
}

func newRolloutTracker(storedAt time.Time) *rolloutTracker {
	return &rolloutTracker{storedAt: storedAt, regions: map[string]*regionRollout{}}
}

// setMemberships replaces the memberships of the regions; a region without one has no members.
func (t *rolloutTracker) setMemberships(regions map[string]fleet.Membership, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range regions {
		if t.regions[key] == nil {
			t.regions[key] = &regionRollout{progress: accept.New(t.storedAt)}
		}
	}
	for key, region := range t.regions {
		region.members = regions[key]
		region.progress.SetMembership(region.members, now)
	}
}

// instancesToQuery returns the instances of a region to query next: those that are not known to have the change in force. While
// they outnumber the instances that have it, it returns a small sample, because each instance reports for all that it reaches.
func (t *rolloutTracker) instancesToQuery(key string) []fleet.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	region := t.regions[key]
	state := region.progress.State(time.Now())
	waiting := state.Unconfirmed()
	instances := slices.DeleteFunc(region.members.Live(), func(i fleet.Instance) bool { return !slices.Contains(waiting, i.ID) })
	if len(waiting) > len(state.InForce) {
		return randomSample(instances)
	}
	return instances
}

// randomSample returns sampleSize consecutive instances of the list, or the whole list when it is not longer. It starts at a
// random instance and continues with the first instance after the last one.
func randomSample(instances []fleet.Instance) []fleet.Instance {
	if len(instances) <= sampleSize {
		return instances
	}
	start := rand.IntN(len(instances))
	rotated := slices.Concat(instances[start:], instances[:start])
	return rotated[:sampleSize]
}

// recordAnswer records the answer of an instance, which lists the instances that it knows to have the change in force.
func (t *rolloutTracker) recordAnswer(key string, from types.InstanceID, inForce []types.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.regions[key].progress.RecordAnswer(from, inForce, time.Now())
}

// fillResult sets the lists of instances in the result and reports whether the change is accepted in all regions.
func (t *rolloutTracker) fillResult(result *Result, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	result.InForce, result.Waiting, result.Isolated, result.Removed = nil, nil, nil, nil
	accepted := true
	for _, region := range t.regions {
		state := region.progress.State(now)
		accepted = accepted && state.Accepted()
		result.InForce = append(result.InForce, state.InForce...)
		result.Waiting = append(result.Waiting, state.Waiting...)
		result.Isolated = append(result.Isolated, state.Isolated...)
		result.Removed = append(result.Removed, state.Removed...)
	}
	return accepted
}

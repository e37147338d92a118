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

// sampleSize is the number of instances of a region that are asked while most have not confirmed the change.
const sampleSize = 2

// rolloutTracker follows a change through all regions; it is safe for concurrent use.
type rolloutTracker struct {
	mu       sync.Mutex
	storedAt time.Time
	regions  map[string]*regionRollout
}

// regionRollout is how far the change has come in one region.
type regionRollout struct {
	progress *accept.Progress
	members  fleet.Membership
}

func newRolloutTracker(stored time.Time) *rolloutTracker {
	return &rolloutTracker{storedAt: stored, regions: map[string]*regionRollout{}}
}

func (s *rolloutTracker) setMemberships(regions map[string]fleet.Membership, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range regions {
		if s.regions[key] == nil {
			s.regions[key] = &regionRollout{progress: accept.New(s.storedAt)}
		}
	}
	for key, followed := range s.regions {
		followed.members = regions[key]
		followed.progress.SetMembership(followed.members, now)
	}
}

// instancesToQuery returns the instances to ask next: any few until most are known to have the change, because each answers for
// all that it reaches, and then all that are not known to have it.
func (s *rolloutTracker) instancesToQuery(key string) []fleet.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	asked := s.regions[key]
	state := asked.progress.State(time.Now())
	waiting := state.Unconfirmed()
	instances := slices.DeleteFunc(asked.members.Live(), func(i fleet.Instance) bool { return !slices.Contains(waiting, i.ID) })
	if len(waiting) > len(state.InForce) {
		return randomSample(instances)
	}
	return instances
}

func randomSample(instances []fleet.Instance) []fleet.Instance {
	if len(instances) <= sampleSize {
		return instances
	}
	start := rand.IntN(len(instances))
	turned := slices.Concat(instances[start:], instances[:start])
	return turned[:sampleSize]
}

func (s *rolloutTracker) recordAnswer(key string, by types.InstanceID, inForce []types.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.regions[key].progress.RecordAnswer(by, inForce, time.Now())
}

// fillResult lists the instances of all regions in the result and reports whether the change is accepted in all.
func (s *rolloutTracker) fillResult(result *Result, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	result.InForce, result.Waiting, result.Isolated, result.Removed = nil, nil, nil, nil
	accepted := true
	for _, followed := range s.regions {
		state := followed.progress.State(now)
		accepted = accepted && state.Accepted()
		result.InForce = append(result.InForce, state.InForce...)
		result.Waiting = append(result.Waiting, state.Waiting...)
		result.Isolated = append(result.Isolated, state.Isolated...)
		result.Removed = append(result.Removed, state.Removed...)
	}
	return accepted
}

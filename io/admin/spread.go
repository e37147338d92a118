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

// witnesses is the number of instances of a region that are asked while most have not confirmed the change.
const witnesses = 2

// spread follows a change through all regions; it is safe for concurrent use.
type spread struct {
	mu      sync.Mutex
	stored  time.Time
	regions map[string]*region
}

// region is how far the change has come in one region.
type region struct {
	progress *accept.Progress
	members  fleet.Membership
}

func newSpread(stored time.Time) *spread {
	return &spread{stored: stored, regions: map[string]*region{}}
}

func (s *spread) follow(regions map[string]fleet.Membership, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range regions {
		if s.regions[key] == nil {
			s.regions[key] = &region{progress: accept.New(s.stored)}
		}
	}
	for key, followed := range s.regions {
		followed.members = regions[key]
		followed.progress.SetMembership(followed.members, now)
	}
}

// questions returns the instances to ask next: any few until most are known to have the change, because each answers for
// all that it reaches, and then all that are not known to have it.
func (s *spread) questions(key string) []fleet.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	asked := s.regions[key]
	state := asked.progress.State(time.Now())
	waiting := state.Unconfirmed()
	instances := slices.DeleteFunc(asked.members.Live(), func(i fleet.Instance) bool { return !slices.Contains(waiting, i.ID) })
	if len(waiting) > len(state.InForce) {
		return someOf(instances)
	}
	return instances
}

func someOf(instances []fleet.Instance) []fleet.Instance {
	if len(instances) <= witnesses {
		return instances
	}
	start := rand.IntN(len(instances))
	turned := slices.Concat(instances[start:], instances[:start])
	return turned[:witnesses]
}

func (s *spread) answered(key string, by types.InstanceID, inForce []types.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.regions[key].progress.RecordAnswer(by, inForce, time.Now())
}

// fill lists the instances of all regions in the result and reports whether the change is accepted in all.
func (s *spread) fill(result *Result, now time.Time) bool {
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

package admin

import (
	"context"
	"fmt"
	"net/url"
	"sync"
	"time"

	"turmericpulley/core/accept"
	"turmericpulley/core/fleet"
	"turmericpulley/core/policy"
	"turmericpulley/core/types"
)

// Apply replaces the contract of a customer and waits until the change governs everywhere.
func (c *Client) Apply(ctx context.Context, contract policy.Contract, base Base) Result {
	storing, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	prepared, done := c.prepare(storing, contract, base)
	if done != nil {
		return *done
	}
	regions, err := c.regions(storing)
	if err != nil {
		return prepared.result(NotRun, 0, "reading the instances: "+err.Error())
	}
	result := c.submit(storing, prepared)
	if result.Outcome != Pending {
		return result
	}
	waiting, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	spread := newSpread(time.Now())
	spread.follow(regions, time.Now())
	return c.confirm(waiting, spread, result)
}

// confirm asks the instances until the change is accepted or the time is over.
func (c *Client) confirm(ctx context.Context, spread *spread, result Result) Result {
	for {
		problem := c.round(ctx, spread, result)
		accepted := spread.fill(&result, time.Now())
		if problem == nil && accepted {
			result.Outcome = Accepted
			return result
		}
		if !pause(ctx) {
			return unconfirmed(result, problem)
		}
	}
}

func unconfirmed(result Result, problem error) Result {
	result.Detail = fmt.Sprintf("stored as revision %s, but not confirmed by all instances; "+
		"it will govern once they hear of it, apply nothing again and look with: status", result.Revision)
	if problem != nil {
		result.Detail += " (" + problem.Error() + ")"
	}
	return result
}

// round reads the memberships and asks every instance once.
func (c *Client) round(ctx context.Context, spread *spread, result Result) error {
	regions, err := c.regions(ctx)
	if err != nil {
		return err
	}
	spread.follow(regions, time.Now())
	path := "/contracts/" + url.PathEscape(string(result.Customer)) + "/status?revision=" + result.Revision.String()
	for key, members := range regions {
		each(members.Instances, func(_ int, instance fleet.Instance) {
			var answer contractStatus
			if c.ask(ctx, instance, path, &answer) == nil {
				spread.answered(key, instance.ID, answer.InForce)
			}
		})
	}
	return nil
}

// contractStatus is an instance's answer about a revision of a contract.
type contractStatus struct {
	InForce []types.InstanceID `json:"inForce"`
}

// spread follows a change through all regions; it is safe for concurrent use.
type spread struct {
	mu      sync.Mutex
	stored  time.Time
	regions map[string]*accept.Progress
}

func newSpread(stored time.Time) *spread {
	return &spread{stored: stored, regions: map[string]*accept.Progress{}}
}

func (s *spread) follow(regions map[string]fleet.Membership, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, progress := range s.regions {
		if _, found := regions[key]; !found {
			progress.Follow(fleet.Membership{}, now)
		}
	}
	for key, members := range regions {
		if s.regions[key] == nil {
			s.regions[key] = accept.New(s.stored)
		}
		s.regions[key].Follow(members, now)
	}
}

func (s *spread) answered(region string, by types.InstanceID, inForce []types.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.regions[region].Answered(by, inForce, time.Now())
}

// fill lists the instances of all regions in the result and reports whether the change is accepted in all.
func (s *spread) fill(result *Result, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	result.InForce, result.Waiting, result.Isolated, result.Removed = nil, nil, nil, nil
	accepted := true
	for _, progress := range s.regions {
		state := progress.State(now)
		accepted = accepted && state.Accepted()
		result.InForce = append(result.InForce, state.InForce...)
		result.Waiting = append(result.Waiting, state.Waiting...)
		result.Isolated = append(result.Isolated, state.Isolated...)
		result.Removed = append(result.Removed, state.Removed...)
	}
	return accepted
}

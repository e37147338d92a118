package admin

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/pause"
	"turmericpulley/core/policy"
	"turmericpulley/core/types"
)

// Apply replaces the contract of a customer and waits until the change is in force at all instances.
// The client's timeout bounds the time to store the change, and once more the wait for the instances.
func (c *Client) Apply(ctx context.Context, contract policy.Contract, base Base) Result {
	storeCtx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	prepared, failure := c.prepare(storeCtx, contract, base)
	if failure != nil {
		return *failure
	}
	regions, err := c.memberships(storeCtx)
	if err != nil {
		return prepared.result(NotRun, 0, "reading the instances: "+err.Error())
	}
	result := c.submit(storeCtx, prepared)
	if result.Outcome != Pending {
		return result
	}
	waitCtx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	tracker := newRolloutTracker(time.Now())
	tracker.setMemberships(regions, time.Now())
	return c.waitUntilInForce(waitCtx, tracker, result)
}

// waitUntilInForce polls the instances until the change is accepted or the context ends.
func (c *Client) waitUntilInForce(ctx context.Context, tracker *rolloutTracker, result Result) Result {
	for interval := pollInterval; ; interval = min(2*interval, maxPollInterval) {
		problem := c.pollInstances(ctx, tracker, result)
		accepted := tracker.fillResult(&result, time.Now())
		if problem == nil && accepted {
			result.Outcome = Accepted
			return result
		}
		if !pause.For(ctx, interval) {
			return pendingResult(result, problem)
		}
	}
}

// pendingResult returns the result of a change that is stored but not yet confirmed by all instances.
func pendingResult(result Result, problem error) Result {
	result.Detail = fmt.Sprintf("stored as revision %s, but not yet confirmed by all instances; "+
		"it takes effect when they receive it, do not apply it again and check with: status", result.Revision)
	if problem != nil {
		result.Detail += " (" + problem.Error() + ")"
	}
	return result
}

// pollInstances reads the memberships and the list of instances, and queries instances of each region about the change.
func (c *Client) pollInstances(ctx context.Context, tracker *rolloutTracker, result Result) error {
	regions, err := c.memberships(ctx)
	if err != nil {
		return err
	}
	listed, err := c.store.Targets(ctx)
	if err != nil {
		return err
	}
	tracker.setMemberships(regions, time.Now())
	tracker.setListed(listed, time.Now())
	path := "/contracts/" + url.PathEscape(string(result.Customer)) + "/status?revision=" + result.Revision.String()
	for key := range regions {
		forEachInstance(tracker.instancesToQuery(key), func(_ int, instance fleet.Instance) {
			var status contractStatus
			if c.getJSON(ctx, instance, path, &status) == nil {
				tracker.recordAnswer(key, instance.ID, status.InForce)
			}
		})
	}
	return nil
}

// contractStatus is an instance's response about a revision of a contract.
type contractStatus struct {
	// InForce lists the instances that the answering instance knows to have the revision, or a later one, in force.
	InForce []types.InstanceID `json:"inForce"`
}

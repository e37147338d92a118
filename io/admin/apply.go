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

// Apply replaces the contract of a customer and waits until the change governs everywhere.
func (c *Client) Apply(ctx context.Context, contract policy.Contract, base Base) Result {
	storing, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	prepared, done := c.prepare(storing, contract, base)
	if done != nil {
		return *done
	}
	regions, err := c.memberships(storing)
	if err != nil {
		return prepared.result(NotRun, 0, "reading the instances: "+err.Error())
	}
	result := c.submit(storing, prepared)
	if result.Outcome != Pending {
		return result
	}
	waiting, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	spread := newRolloutTracker(time.Now())
	spread.setMemberships(regions, time.Now())
	return c.waitUntilInForce(waiting, spread, result)
}

// waitUntilInForce asks the instances until the change is accepted or the time is over.
func (c *Client) waitUntilInForce(ctx context.Context, spread *rolloutTracker, result Result) Result {
	for interval := pollInterval; ; interval = min(2*interval, maxPollInterval) {
		problem := c.pollInstances(ctx, spread, result)
		accepted := spread.fillResult(&result, time.Now())
		if problem == nil && accepted {
			result.Outcome = Accepted
			return result
		}
		if !pause.For(ctx, interval) {
			return pendingResult(result, problem)
		}
	}
}

func pendingResult(result Result, problem error) Result {
	result.Detail = fmt.Sprintf("stored as revision %s, but not confirmed by all instances; "+
		"it will govern once they hear of it, apply nothing again and look with: status", result.Revision)
	if problem != nil {
		result.Detail += " (" + problem.Error() + ")"
	}
	return result
}

// pollInstances reads the memberships and asks a few instances, which answer for others too, or those still without the change.
func (c *Client) pollInstances(ctx context.Context, spread *rolloutTracker, result Result) error {
	regions, err := c.memberships(ctx)
	if err != nil {
		return err
	}
	listed, err := c.store.Targets(ctx)
	if err != nil {
		return err
	}
	spread.setMemberships(regions, time.Now())
	spread.setListed(listed, time.Now())
	path := "/contracts/" + url.PathEscape(string(result.Customer)) + "/status?revision=" + result.Revision.String()
	for key := range regions {
		forEachInstance(spread.instancesToQuery(key), func(_ int, instance fleet.Instance) {
			var answer contractStatus
			if c.getJSON(ctx, instance, path, &answer) == nil {
				spread.recordAnswer(key, instance.ID, answer.InForce)
			}
		})
	}
	return nil
}

// contractStatus is an instance's answer about a revision of a contract.
type contractStatus struct {
	InForce []types.InstanceID `json:"inForce"`
}

package admin

import (
	"context"
	"sync"

	"turmericpulley/core/fleet"
)

// instancesPrefix begins the key of every region's membership.
const instancesPrefix = "instances/"

// memberships reads the memberships of all regions by their keys.
func (c *Client) memberships(ctx context.Context) (map[string]fleet.Membership, error) {
	page, err := c.store.List(ctx, instancesPrefix, 0, 0)
	if err != nil {
		return nil, err
	}
	regions := map[string]fleet.Membership{}
	for _, entry := range page.Entries {
		if entry.Deleted {
			continue
		}
		members, err := fleet.DecodeMembership(entry.Value, entry.Revision)
		if err != nil {
			return nil, err
		}
		regions[entry.Key] = members
	}
	return regions, nil
}

// Instances returns every instance of every region.
func (c *Client) Instances(ctx context.Context) ([]fleet.Instance, error) {
	regions, err := c.memberships(ctx)
	if err != nil {
		return nil, err
	}
	var instances []fleet.Instance
	for _, members := range regions {
		instances = append(instances, members.Instances...)
	}
	return instances, nil
}

// forEachInstance calls the function for all instances, some at once, and waits for all.
func forEachInstance(instances []fleet.Instance, ask func(index int, instance fleet.Instance)) {
	var group sync.WaitGroup
	room := make(chan struct{}, maxConcurrentQueries)
	for index, instance := range instances {
		room <- struct{}{}
		group.Go(func() {
			defer func() { <-room }()
			ask(index, instance)
		})
	}
	group.Wait()
}

package admin

import (
	"context"
	"sync"

	"turmericpulley/core/fleet"
)

// instancesPrefix is the prefix of the keys of the regions' memberships.
const instancesPrefix = "instances/"

// memberships reads the memberships of all regions; the map is keyed by the documents' keys in the store.
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

// forEachInstance calls query for each instance, up to maxConcurrentQueries at once, and waits for all calls.
func forEachInstance(instances []fleet.Instance, query func(index int, instance fleet.Instance)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentQueries)
	for index, instance := range instances {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			query(index, instance)
		})
	}
	group.Wait()
}

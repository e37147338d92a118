package peers

import (
	"context"
	"slices"
	"sync"

	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

// maxConcurrentStatusCalls is the largest number of instances that are queried at the same time.
const maxConcurrentStatusCalls = 16

// DocumentStatus lists the live instances where a revision of a document is in force, and those where it is not.
type DocumentStatus struct {
	// InForce lists the instances where the revision, or a later one, is in force.
	InForce []types.InstanceID `json:"inForce"`
	// Missing lists the instances where it is not, and those that did not respond.
	Missing []types.InstanceID `json:"missing"`
}

// DocumentStatus asks all live instances of the region whether the revision of the key is in force there.
func (s *Service) DocumentStatus(ctx context.Context, key string, revision types.Revision) DocumentStatus {
	query := &wire.Request{Kind: &wire.Request_StatusQuery{StatusQuery: &wire.StatusQuery{
		Key: key, Revision: uint64(revision),
	}}}
	status := DocumentStatus{}
	mu := sync.Mutex{}
	queries := sync.WaitGroup{}
	slots := make(chan struct{}, maxConcurrentStatusCalls)
	for _, instance := range s.Membership().Live() {
		slots <- struct{}{}
		queries.Go(func() {
			defer func() { <-slots }()
			inForce := s.isInForceAt(ctx, instance, query)
			mu.Lock()
			defer mu.Unlock()
			status.add(instance.ID, inForce)
		})
	}
	queries.Wait()
	slices.Sort(status.InForce)
	slices.Sort(status.Missing)
	return status
}

func (d *DocumentStatus) add(id types.InstanceID, inForce bool) {
	if inForce {
		d.InForce = append(d.InForce, id)
		return
	}
	d.Missing = append(d.Missing, id)
}

func (s *Service) isInForceAt(ctx context.Context, instance fleet.Instance, query *wire.Request) bool {
	if instance.ID == s.Self().ID {
		return s.server.handleStatusQuery(query.GetStatusQuery()).GetStatus().GetInForce()
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := s.node.call(ctx, instance.PeerAddress, query)
	return err == nil && reply.GetStatus().GetInForce()
}

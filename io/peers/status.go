package peers

import (
	"context"
	"slices"
	"sync"

	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

// maxConcurrentStatusCalls is the number of instances that are asked at once.
const maxConcurrentStatusCalls = 16

// DocumentStatus tells at which live instances a revision of a document governs.
type DocumentStatus struct {
	// InForce lists the instances where the revision, or a later one, governs.
	InForce []types.InstanceID `json:"inForce"`
	// Missing lists the instances where it does not, and those that did not answer.
	Missing []types.InstanceID `json:"missing"`
}

// DocumentStatus asks all live instances of the region whether the revision of the key governs there.
func (s *Service) DocumentStatus(ctx context.Context, key string, revision types.Revision) DocumentStatus {
	query := &wire.Request{Kind: &wire.Request_StatusQuery{StatusQuery: &wire.StatusQuery{
		Key: key, Revision: uint64(revision),
	}}}
	status := DocumentStatus{}
	collecting := sync.Mutex{}
	asking := sync.WaitGroup{}
	room := make(chan struct{}, maxConcurrentStatusCalls)
	for _, instance := range s.Membership().Live() {
		room <- struct{}{}
		asking.Go(func() {
			defer func() { <-room }()
			inForce := s.isInForceAt(ctx, instance, query)
			collecting.Lock()
			defer collecting.Unlock()
			status.add(instance.ID, inForce)
		})
	}
	asking.Wait()
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

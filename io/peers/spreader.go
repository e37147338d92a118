package peers

import (
	"context"
	"sync"
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/relay"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

const (
	// pendingPushes is the number of changes that may wait to be passed on.
	pendingPushes = 64
	// pushTimeout bounds the passing of a change to one instance.
	pushTimeout = 500 * time.Millisecond
	// maxPushBytes is the size from which changes are left to be fetched.
	maxPushBytes = 1 << 20
)

// spreader passes changes down a tree of instances; whoever misses one notices by the revisions in heartbeats.
type spreader struct {
	node    *node
	pushes  chan *wire.Push
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func newSpreader(n *node) *spreader {
	ctx, cancel := context.WithCancel(context.Background())
	s := &spreader{node: n, pushes: make(chan *wire.Push, pendingPushes), cancel: cancel}
	s.running.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case push := <-s.pushes:
				s.send(ctx, push)
			}
		}
	})
	return s
}

func (s *spreader) close() {
	s.cancel()
	s.running.Wait()
}

// spreadMembership starts a tree over the region.
func (s *spreader) spreadMembership(members fleet.Membership) {
	documents := &wire.Documents{}
	addMembership(documents, members)
	s.pass(&wire.Push{Documents: documents, Root: string(s.node.roster.own().ID)})
}

// spreadBatch starts a tree over the instance's data centre.
func (s *spreader) spreadBatch(batch relay.Batch) {
	if batch.Bytes() > maxPushBytes {
		return
	}
	self := s.node.roster.own()
	s.pass(&wire.Push{Documents: encodeBatch(batch), Root: string(self.ID), DataCentre: string(self.DataCentre)})
}

// pass queues a change for the instances below this one in the tree.
func (s *spreader) pass(push *wire.Push) {
	select {
	case s.pushes <- push:
	default:
		s.node.counters.PushesDropped.Add(1)
	}
}

func (s *spreader) send(ctx context.Context, push *wire.Push) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	members := s.node.roster.current()
	tree := members.Instances
	if push.GetDataCentre() != "" {
		tree = members.LiveIn(types.DataCentre(push.GetDataCentre()))
	}
	request := &wire.Request{Kind: &wire.Request_Push{Push: push}}
	sending := sync.WaitGroup{}
	for _, child := range fleet.BroadcastChildren(tree, types.InstanceID(push.GetRoot()), s.node.roster.own().ID) {
		sending.Go(func() {
			s.node.counters.Pushes.Add(1)
			_, _ = s.node.call(ctx, child.PeerAddress, request)
		})
	}
	sending.Wait()
}

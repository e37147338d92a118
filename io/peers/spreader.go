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
	// maxPendingPushes is the number of changes that may wait to be passed on.
	maxPendingPushes = 64
	// pushTimeout bounds the passing of a change to one instance.
	pushTimeout = 500 * time.Millisecond
	// maxPushBytes is the size from which changes are left to be fetched.
	maxPushBytes = 1 << 20
)

// broadcaster passes changes down a tree of instances; whoever misses one notices by the revisions in heartbeats.
type broadcaster struct {
	node       *node
	pushQueue  chan *wire.Push
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

func newBroadcaster(n *node) *broadcaster {
	ctx, cancel := context.WithCancel(context.Background())
	s := &broadcaster{node: n, pushQueue: make(chan *wire.Push, maxPendingPushes), cancel: cancel}
	s.goroutines.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case push := <-s.pushQueue:
				s.sendToChildren(ctx, push)
			}
		}
	})
	return s
}

func (s *broadcaster) close() {
	s.cancel()
	s.goroutines.Wait()
}

// broadcastMembership starts a tree over the region.
func (s *broadcaster) broadcastMembership(members fleet.Membership) {
	documents := &wire.Documents{}
	addMembership(documents, members)
	s.enqueue(&wire.Push{Documents: documents, Root: string(s.node.membership.localInstance().ID)})
}

// broadcastBatch starts a tree over the instance's data centre.
func (s *broadcaster) broadcastBatch(batch relay.Batch) {
	if batch.Bytes() > maxPushBytes {
		return
	}
	self := s.node.membership.localInstance()
	s.enqueue(&wire.Push{Documents: encodeBatch(batch), Root: string(self.ID), DataCentre: string(self.DataCentre)})
}

// enqueue queues a change for the instances below this one in the tree.
func (s *broadcaster) enqueue(push *wire.Push) {
	select {
	case s.pushQueue <- push:
	default:
		s.node.counters.PushesDropped.Add(1)
	}
}

func (s *broadcaster) sendToChildren(ctx context.Context, push *wire.Push) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	members := s.node.membership.current()
	tree := members.Instances
	if push.GetDataCentre() != "" {
		tree = members.LiveIn(types.DataCentre(push.GetDataCentre()))
	}
	request := &wire.Request{Kind: &wire.Request_Push{Push: push}}
	sending := sync.WaitGroup{}
	for _, child := range fleet.BroadcastChildren(tree, types.InstanceID(push.GetRoot()), s.node.membership.localInstance().ID) {
		sending.Go(func() {
			s.node.counters.Pushes.Add(1)
			_, _ = s.node.call(ctx, child.PeerAddress, request)
		})
	}
	sending.Wait()
}

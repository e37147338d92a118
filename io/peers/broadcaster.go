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
	// maxPendingPushes is the capacity of the queue of changes to be sent.
	maxPendingPushes = 64
	// pushTimeout bounds the sending of one change to the children in the tree.
	pushTimeout = 500 * time.Millisecond
	// maxPushBytes is the size above which a batch is not pushed; the other instances fetch it.
	maxPushBytes = 1 << 20
)

// broadcaster sends changes down a tree of instances. An instance that misses a change notices this from the revisions
// in heartbeats and fetches the change.
type broadcaster struct {
	node       *node
	pushQueue  chan *wire.Push
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

func newBroadcaster(n *node) *broadcaster {
	ctx, cancel := context.WithCancel(context.Background())
	b := &broadcaster{node: n, pushQueue: make(chan *wire.Push, maxPendingPushes), cancel: cancel}
	b.goroutines.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case push := <-b.pushQueue:
				b.sendToChildren(ctx, push)
			}
		}
	})
	return b
}

func (b *broadcaster) close() {
	b.cancel()
	b.goroutines.Wait()
}

// broadcastMembership sends the membership to all instances of the region, through a tree with this instance as its
// root.
func (b *broadcaster) broadcastMembership(members fleet.Membership) {
	documents := &wire.Documents{}
	addMembership(documents, members)
	b.enqueue(&wire.Push{Documents: documents, Root: string(b.node.membership.localInstance().ID)})
}

// broadcastBatch sends a batch to all live instances of this data centre, through a tree with this instance as its
// root.
func (b *broadcaster) broadcastBatch(batch relay.Batch) {
	if batch.Bytes() > maxPushBytes {
		return
	}
	self := b.node.membership.localInstance()
	b.enqueue(&wire.Push{Documents: encodeBatch(batch), Root: string(self.ID), DataCentre: string(self.DataCentre)})
}

// enqueue queues a change for the children of this instance in the tree. A full queue drops the change.
func (b *broadcaster) enqueue(push *wire.Push) {
	select {
	case b.pushQueue <- push:
	default:
		b.node.counters.PushesDropped.Add(1)
	}
}

func (b *broadcaster) sendToChildren(ctx context.Context, push *wire.Push) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	members := b.node.membership.current()
	tree := members.Instances
	if push.GetDataCentre() != "" {
		tree = members.LiveIn(types.DataCentre(push.GetDataCentre()))
	}
	request := &wire.Request{Kind: &wire.Request_Push{Push: push}}
	sending := sync.WaitGroup{}
	for _, child := range fleet.BroadcastChildren(tree, types.InstanceID(push.GetRoot()), b.node.membership.localInstance().ID) {
		sending.Go(func() {
			b.node.counters.Pushes.Add(1)
			_, _ = b.node.call(ctx, child.PeerAddress, request)
		})
	}
	sending.Wait()
}

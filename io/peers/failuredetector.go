package peers

import (
	"context"
	"sync"

	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
)

// failureDetector monitors the instances to which this one sends heartbeats. The set changes with the membership.
type failureDetector struct {
	node          *node
	reportFailure func(ctx context.Context, peer fleet.Instance)
	stop          chan struct{}
	goroutines    sync.WaitGroup

	mu        sync.Mutex
	monitored map[types.InstanceID]*monitoredPeer
}

func newFailureDetector(n *node, report func(context.Context, fleet.Instance)) *failureDetector {
	d := &failureDetector{node: n, reportFailure: report, stop: make(chan struct{}), monitored: make(map[types.InstanceID]*monitoredPeer)}
	changes := n.changes.subscribe()
	d.goroutines.Go(func() {
		for {
			select {
			case <-d.stop:
				d.reconcile(nil)
				return
			case <-changes:
				d.reconcile(n.membership.current().HeartbeatPeers(n.membership.localInstance().ID))
			}
		}
	})
	return d
}

// close stops all heartbeats.
func (d *failureDetector) close() {
	close(d.stop)
	d.goroutines.Wait()
}

// suspects returns the monitored instances that do not respond.
func (d *failureDetector) suspects() []types.InstanceID {
	d.mu.Lock()
	defer d.mu.Unlock()
	suspects := make([]types.InstanceID, 0, len(d.monitored))
	for id, peer := range d.monitored {
		if peer.suspected.Load() {
			suspects = append(suspects, id)
		}
	}
	return suspects
}

// suspected reports whether the instance is monitored by this one and does not respond.
func (d *failureDetector) suspected(id types.InstanceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	peer := d.monitored[id]
	return peer != nil && peer.suspected.Load()
}

// proposerView returns what this instance knows about its contact with the others, from which a proposer derives how
// many reports a removal requires.
func (d *failureDetector) proposerView() fleet.ProposerView {
	suspects := len(d.suspects())
	d.mu.Lock()
	defer d.mu.Unlock()
	return fleet.ProposerView{
		Live:             len(d.node.membership.current().Live()),
		Monitored:        len(d.monitored),
		Suspected:        suspects,
		SinceLastContact: d.node.documents.sinceLastContact(),
	}
}

// reconcile starts and stops heartbeats so that exactly the wanted instances are monitored.
func (d *failureDetector) reconcile(wanted []fleet.Instance) {
	for _, peer := range d.removeOutdated(wanted) {
		peer.close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, peer := range wanted {
		if d.monitored[peer.ID] == nil {
			d.monitored[peer.ID] = newMonitoredPeer(d.node, peer, d.reportFailure)
		}
	}
}

// removeOutdated removes and returns the monitored peers that are not wanted, or not with this incarnation and address.
func (d *failureDetector) removeOutdated(wanted []fleet.Instance) []*monitoredPeer {
	d.mu.Lock()
	defer d.mu.Unlock()
	removed := make([]*monitoredPeer, 0)
	for id, peer := range d.monitored {
		index := fleet.IndexOf(wanted, id)
		if index >= 0 && sameIncarnationAndAddress(wanted[index], peer.peer) {
			continue
		}
		delete(d.monitored, id)
		removed = append(removed, peer)
	}
	return removed
}

func sameIncarnationAndAddress(a, b fleet.Instance) bool {
	return a.Incarnation == b.Incarnation && a.PeerAddress == b.PeerAddress
}

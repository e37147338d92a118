package peers

import (
	"context"
	"sync"

	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
)

// failureDetector sends heartbeats to the instances that this one has to watch, as the membership changes.
type failureDetector struct {
	node          *node
	reportFailure func(ctx context.Context, peer fleet.Instance)
	stop          chan struct{}
	goroutines    sync.WaitGroup

	mu        sync.Mutex
	monitored map[types.InstanceID]*monitoredPeer
}

func newFailureDetector(n *node, report func(context.Context, fleet.Instance)) *failureDetector {
	w := &failureDetector{node: n, reportFailure: report, stop: make(chan struct{}), monitored: make(map[types.InstanceID]*monitoredPeer)}
	changes := n.changes.subscribe()
	w.goroutines.Go(func() {
		for {
			select {
			case <-w.stop:
				w.reconcile(nil)
				return
			case <-changes:
				w.reconcile(n.membership.current().HeartbeatPeers(n.membership.localInstance().ID))
			}
		}
	})
	return w
}

// close stops all heartbeats.
func (w *failureDetector) close() {
	close(w.stop)
	w.goroutines.Wait()
}

// suspects returns the instances that do not answer.
func (w *failureDetector) suspects() []types.InstanceID {
	w.mu.Lock()
	defer w.mu.Unlock()
	suspects := make([]types.InstanceID, 0, len(w.monitored))
	for id, watch := range w.monitored {
		if watch.suspected.Load() {
			suspects = append(suspects, id)
		}
	}
	return suspects
}

// suspected reports whether the instance is watched from here and does not answer.
func (w *failureDetector) suspected(id types.InstanceID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	watch := w.monitored[id]
	return watch != nil && watch.suspected.Load()
}

// proposerView returns what this instance knows about its own contacts.
func (w *failureDetector) proposerView() fleet.ProposerView {
	suspects := len(w.suspects())
	w.mu.Lock()
	defer w.mu.Unlock()
	return fleet.ProposerView{
		Live:             len(w.node.membership.current().Live()),
		Monitored:        len(w.monitored),
		Suspected:        suspects,
		SinceLastContact: w.node.documents.sinceLastContact(),
	}
}

// reconcile starts and stops watches until exactly the wanted instances are watched.
func (w *failureDetector) reconcile(wanted []fleet.Instance) {
	for _, watch := range w.removeOutdated(wanted) {
		watch.close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, peer := range wanted {
		if w.monitored[peer.ID] == nil {
			w.monitored[peer.ID] = newMonitoredPeer(w.node, peer, w.reportFailure)
		}
	}
}

// removeOutdated takes out the watches that are no longer wanted.
func (w *failureDetector) removeOutdated(wanted []fleet.Instance) []*monitoredPeer {
	w.mu.Lock()
	defer w.mu.Unlock()
	removed := make([]*monitoredPeer, 0)
	for id, watch := range w.monitored {
		index := fleet.IndexOf(wanted, id)
		if index >= 0 && sameIncarnationAndAddress(wanted[index], watch.peer) {
			continue
		}
		delete(w.monitored, id)
		removed = append(removed, watch)
	}
	return removed
}

func sameIncarnationAndAddress(a, b fleet.Instance) bool {
	return a.Incarnation == b.Incarnation && a.PeerAddress == b.PeerAddress
}

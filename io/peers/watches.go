package peers

import (
	"context"
	"sync"

	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
)

// watches sends heartbeats to the instances that this one has to watch, as the membership changes.
type watches struct {
	node    *node
	report  func(ctx context.Context, peer fleet.Instance)
	stop    chan struct{}
	running sync.WaitGroup

	mu   sync.Mutex
	held map[types.InstanceID]*watch
}

func newWatches(n *node, report func(context.Context, fleet.Instance)) *watches {
	w := &watches{node: n, report: report, stop: make(chan struct{}), held: make(map[types.InstanceID]*watch)}
	changes := n.changes.subscribe()
	w.running.Go(func() {
		for {
			select {
			case <-w.stop:
				w.adjust(nil)
				return
			case <-changes:
				w.adjust(n.roster.current().HeartbeatPeers(n.roster.own().ID))
			}
		}
	})
	return w
}

// close stops all heartbeats.
func (w *watches) close() {
	close(w.stop)
	w.running.Wait()
}

// suspects returns the instances that do not answer.
func (w *watches) suspects() []types.InstanceID {
	w.mu.Lock()
	defer w.mu.Unlock()
	suspects := make([]types.InstanceID, 0, len(w.held))
	for id, watch := range w.held {
		if watch.suspected.Load() {
			suspects = append(suspects, id)
		}
	}
	return suspects
}

// suspected reports whether the instance is watched from here and does not answer.
func (w *watches) suspected(id types.InstanceID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	watch := w.held[id]
	return watch != nil && watch.suspected.Load()
}

// view returns what this instance knows about its own contacts.
func (w *watches) view() fleet.ProposerView {
	suspects := len(w.suspects())
	w.mu.Lock()
	defer w.mu.Unlock()
	return fleet.ProposerView{
		Live:             len(w.node.roster.current().Live()),
		Monitored:        len(w.held),
		Suspected:        suspects,
		SinceLastContact: w.node.records.silence(),
	}
}

// adjust starts and stops watches until exactly the wanted instances are watched.
func (w *watches) adjust(wanted []fleet.Instance) {
	for _, watch := range w.outdated(wanted) {
		watch.close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, peer := range wanted {
		if w.held[peer.ID] == nil {
			w.held[peer.ID] = newWatch(w.node, peer, w.report)
		}
	}
}

// outdated takes out the watches that are no longer wanted.
func (w *watches) outdated(wanted []fleet.Instance) []*watch {
	w.mu.Lock()
	defer w.mu.Unlock()
	removed := make([]*watch, 0)
	for id, watch := range w.held {
		index := fleet.IndexOf(wanted, id)
		if index >= 0 && sameLife(wanted[index], watch.peer) {
			continue
		}
		delete(w.held, id)
		removed = append(removed, watch)
	}
	return removed
}

func sameLife(a, b fleet.Instance) bool {
	return a.Incarnation == b.Incarnation && a.PeerAddress == b.PeerAddress
}

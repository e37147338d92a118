package peers

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"turmericpulley/core/fleet"
	"turmericpulley/core/relay"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

// maxPendingFetches is the capacity of the queue of peers from which documents are to be fetched.
const maxPendingFetches = 16

// node holds the state of this instance that all components of a Service share.
type node struct {
	settings       Settings
	logger         hclog.Logger
	counters       *Counters
	membership     *membershipView
	documents      *documentState
	sessionMonitor *sessionMonitor
	sessions       *sessionPool
	changes        *notifier
	// fetchQueue holds the peers that reported newer documents than those of this instance.
	fetchQueue chan fetchRequest
}

func newNode(settings Settings) *node {
	counters := &Counters{}
	monitor := newSessionMonitor(counters)
	return &node{
		settings:       settings,
		logger:         settings.Logger,
		counters:       counters,
		membership:     newMembershipView(settings.Self),
		documents:      newDocumentState(),
		sessionMonitor: monitor,
		sessions:       newSessionPool(settings.DialAddress, counters, monitor),
		changes:        &notifier{},
		fetchQueue:     make(chan fetchRequest, maxPendingFetches),
	}
}

// close drops the sessions to other instances and stops the session monitor. The other instances close the dropped sessions.
func (n *node) close() {
	n.sessions.close()
	n.sessionMonitor.close()
}

// membershipKey returns the key of the region's membership in the store.
func (n *node) membershipKey() string { return "instances/" + string(n.settings.Region) }

// installMembership replaces the membership by a newer one and notifies the subscribers; it reports whether it was
// newer.
func (n *node) installMembership(members fleet.Membership) bool {
	if !n.membership.install(members) {
		return false
	}
	n.documents.retain(members)
	n.logger.Info("membership changed", "revision", members.Revision, "instances", len(members.Instances))
	n.changes.notify()
	return true
}

// mergeDocuments applies a batch of documents and reports whether any of them was new. When documents from before the
// batch are missing, they are fetched later: the revisions in heartbeats show that this instance is behind.
func (n *node) mergeDocuments(batch relay.Batch) bool {
	changed, _ := n.documents.cache.Merge(batch)
	if changed {
		n.changes.notify()
	}
	return changed
}

// heartbeat returns the heartbeat that this instance sends: its identity and the status of its documents.
func (n *node) heartbeat() *wire.Heartbeat {
	self := n.membership.localInstance()
	return encodeHeartbeat(self, n.documents.status(self.ID, n.membership.current()))
}

// recordResponse records the response to a heartbeat.
func (n *node) recordResponse(peer fleet.Instance, sent time.Time, response *wire.Heartbeat) {
	n.counters.Heartbeats.Add(1)
	status := decodeHeartbeat(response)
	n.queueFetch(peer.PeerAddress, status)
	n.documents.recordHeartbeat(relay.HeartbeatResponse{Peer: peer.ID, SentAt: sent, Status: status}, n.membership.current())
}

// queueFetch queues a request to fetch documents from the peer when the peer holds newer ones. A full queue drops the
// request; the next heartbeat queues it again.
func (n *node) queueFetch(address string, status relay.PeerStatus) {
	if !n.isBehind(status) {
		return
	}
	select {
	case n.fetchQueue <- fetchRequest{address, status}:
	default:
	}
}

// isBehind reports whether the peer holds newer documents or a newer membership.
func (n *node) isBehind(status relay.PeerStatus) bool {
	return !n.documents.cache.Revisions().Covers(status.Revisions) || n.membership.current().Revision < status.Membership
}

// address returns the peer address of an instance of the membership.
func (n *node) address(id types.InstanceID) (string, bool) {
	instance, found := n.membership.current().Find(id)
	return instance.PeerAddress, found
}

// storeContext returns the context of a store call that waits at most the given time for a change.
func storeContext(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, wait+storeTimeout)
}

// storeTimeout bounds a store call in addition to the time that it may wait for a change.
const storeTimeout = 2 * time.Second

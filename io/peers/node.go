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

// maxPendingFetches is the number of peers that may wait to be asked for documents.
const maxPendingFetches = 16

// node is what the duties of one instance share.
type node struct {
	settings       Settings
	logger         hclog.Logger
	counters       *Counters
	membership     *membershipView
	documents      *documentState
	sessionMonitor *sessionMonitor
	sessions       *sessionPool
	changes        *notifier
	// fetchQueue names peers that hold newer documents.
	fetchQueue chan fetchRequest
}

func newNode(settings Settings) *node {
	counters := &Counters{}
	k := newSessionMonitor(counters)
	return &node{
		settings:       settings,
		logger:         settings.Logger,
		counters:       counters,
		membership:     newMembershipView(settings.Self),
		documents:      newDocumentState(),
		sessionMonitor: k,
		sessions:       newSessionPool(settings.DialAddress, counters, k),
		changes:        &notifier{},
		fetchQueue:     make(chan fetchRequest, maxPendingFetches),
	}
}

// close ends the sessions to other instances.
func (n *node) close() {
	n.sessions.close()
	n.sessionMonitor.close()
}

// membershipKey returns the key of the region's membership in the store.
func (n *node) membershipKey() string { return "instances/" + string(n.settings.Region) }

// installMembership takes a newer membership and tells everyone concerned.
func (n *node) installMembership(members fleet.Membership) bool {
	if !n.membership.install(members) {
		return false
	}
	n.documents.retain(members)
	n.logger.Info("membership changed", "revision", members.Revision, "instances", len(members.Instances))
	n.changes.notify()
	return true
}

// mergeDocuments takes a batch of documents and reports whether any was new; what is missing before it is left to fetches.
func (n *node) mergeDocuments(batch relay.Batch) bool {
	changed, _ := n.documents.cache.Merge(batch)
	if changed {
		n.changes.notify()
	}
	return changed
}

// heartbeat describes this instance to another.
func (n *node) heartbeat() *wire.Heartbeat {
	self := n.membership.localInstance()
	return encodeHeartbeat(self, n.documents.status(self.ID, n.membership.current()))
}

// recordResponse takes the answer to a heartbeat.
func (n *node) recordResponse(peer fleet.Instance, sent time.Time, answer *wire.Heartbeat) {
	n.counters.Heartbeats.Add(1)
	standing := decodeHeartbeat(answer)
	n.queueFetch(peer.PeerAddress, standing)
	n.documents.recordHeartbeat(relay.HeartbeatResponse{Peer: peer.ID, SentAt: sent, Status: standing}, n.membership.current())
}

// queueFetch asks the peer for documents when it holds newer ones.
func (n *node) queueFetch(address string, standing relay.PeerStatus) {
	if !n.isBehind(standing) {
		return
	}
	select {
	case n.fetchQueue <- fetchRequest{address, standing}:
	default:
	}
}

// isBehind reports whether the peer holds something newer.
func (n *node) isBehind(standing relay.PeerStatus) bool {
	return !n.documents.cache.Revisions().Covers(standing.Revisions) || n.membership.current().Revision < standing.Membership
}

// address returns where an instance of the membership can be reached.
func (n *node) address(id types.InstanceID) (string, bool) {
	instance, found := n.membership.current().Find(id)
	return instance.PeerAddress, found
}

// storeContext bounds a call to the store.
func storeContext(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, wait+storeTimeout)
}

// storeTimeout bounds a call to the store beyond what it may wait.
const storeTimeout = 2 * time.Second

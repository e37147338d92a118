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

// pendingFetches is the number of peers that may wait to be asked for documents.
const pendingFetches = 16

// node is what the duties of one instance share.
type node struct {
	settings Settings
	logger   hclog.Logger
	counters *Counters
	roster   *roster
	records  *records
	keeper   *keeper
	links    *links
	changes  *notifier
	// fetches names peers that hold newer documents.
	fetches chan fetchOrder
}

func newNode(settings Settings) *node {
	counters := &Counters{}
	k := newKeeper(counters)
	return &node{
		settings: settings,
		logger:   settings.Logger,
		counters: counters,
		roster:   newRoster(settings.Self),
		records:  newRecords(),
		keeper:   k,
		links:    newLinks(settings.Links, counters, k),
		changes:  &notifier{},
		fetches:  make(chan fetchOrder, pendingFetches),
	}
}

// close ends the sessions to other instances.
func (n *node) close() {
	n.links.close()
	n.keeper.close()
}

// membershipKey returns the key of the region's membership in the store.
func (n *node) membershipKey() string { return "instances/" + string(n.settings.Region) }

// install takes a newer membership and tells everyone concerned.
func (n *node) install(members fleet.Membership) bool {
	if !n.roster.install(members) {
		return false
	}
	n.records.retain(members)
	n.logger.Info("membership changed", "revision", members.Revision, "instances", len(members.Instances))
	n.changes.notify()
	return true
}

// merge takes a batch of documents and reports whether any was new; what is missing before it is left to fetches.
func (n *node) merge(batch relay.Batch) bool {
	changed, _ := n.records.book.Merge(batch)
	if changed {
		n.changes.notify()
	}
	return changed
}

// heartbeat describes this instance to another.
func (n *node) heartbeat() *wire.Heartbeat {
	self := n.roster.own()
	return encodeHeartbeat(self, n.records.standing(self.ID, n.roster.current()))
}

// answered takes the answer to a heartbeat.
func (n *node) answered(peer fleet.Instance, sent time.Time, answer *wire.Heartbeat) {
	n.counters.Heartbeats.Add(1)
	standing := decodeHeartbeat(answer)
	n.fetchFrom(peer.PeerAddress, standing)
	n.records.exchanged(relay.HeartbeatResponse{Peer: peer.ID, SentAt: sent, Status: standing}, n.roster.current())
}

// fetchFrom asks the peer for documents when it holds newer ones.
func (n *node) fetchFrom(address string, standing relay.PeerStatus) {
	if !n.behind(standing) {
		return
	}
	select {
	case n.fetches <- fetchOrder{address, standing}:
	default:
	}
}

// behind reports whether the peer holds something newer.
func (n *node) behind(standing relay.PeerStatus) bool {
	return !n.records.book.Revisions().Covers(standing.Revisions) || n.roster.current().Revision < standing.Membership
}

// address returns where an instance of the membership can be reached.
func (n *node) address(id types.InstanceID) (string, bool) {
	instance, found := n.roster.current().Find(id)
	return instance.PeerAddress, found
}

// storeContext bounds a call to the store.
func storeContext(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, wait+storeTimeout)
}

// storeTimeout bounds a call to the store beyond what it may wait.
const storeTimeout = 2 * time.Second

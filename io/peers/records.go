package peers

import (
	"sync"
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/relay"
	"turmericpulley/core/types"
)

// documentState guards the evidence that the documents are current.
type documentState struct {
	cache *relay.Cache

	mu        sync.Mutex
	freshness *relay.Freshness
	// lastContact is when another instance last answered.
	lastContact time.Time
}

func newDocumentState() *documentState {
	now := time.Now()
	return &documentState{cache: relay.NewCache(), freshness: relay.NewFreshness(now), lastContact: now}
}

// status describes the copies held here. The evidence is read before the revisions: documents that arrive in between
// are then told without evidence, never evidence without its documents.
func (r *documentState) status(self types.InstanceID, members fleet.Membership) relay.PeerStatus {
	r.mu.Lock()
	now := time.Now()
	standing := relay.PeerStatus{
		Membership: members.Revision,
		Synced:     r.freshness.Synced(),
		StoreAge:   r.freshness.StoreAge(now),
		Contacts:   r.freshness.Contacts(now, self, members),
	}
	r.mu.Unlock()
	standing.Revisions = r.cache.Revisions()
	return standing
}

// recordHeartbeat records an answered heartbeat.
func (r *documentState) recordHeartbeat(exchange relay.HeartbeatResponse, members fleet.Membership) {
	held := r.cache.Revisions()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastContact = time.Now()
	r.freshness.RecordHeartbeat(exchange, held, members)
}

// recordStore records an answer of the store.
func (r *documentState) recordStore(prefix string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.freshness.RecordStore(prefix, at)
}

// retain forgets instances that are no longer members.
func (r *documentState) retain(members fleet.Membership) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.freshness.Retain(members)
}

// checkFreshness reports whether the documents may govern new work now.
func (r *documentState) checkFreshness(self types.InstanceID, members fleet.Membership) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.freshness.Check(time.Now(), self, members)
}

// sinceLastContact returns how long no other instance has answered.
func (r *documentState) sinceLastContact() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastContact)
}

package peers

import (
	"sync"
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/relay"
	"turmericpulley/core/types"
)

// records guards the evidence that the documents are current.
type records struct {
	book *relay.Cache

	mu       sync.Mutex
	evidence *relay.Freshness
	// answered is when another instance last answered.
	answered time.Time
}

func newRecords() *records {
	now := time.Now()
	return &records{book: relay.NewCache(), evidence: relay.NewFreshness(now), answered: now}
}

// standing describes the copies held here. The evidence is read before the revisions: documents that arrive in between
// are then told without evidence, never evidence without its documents.
func (r *records) standing(self types.InstanceID, members fleet.Membership) relay.PeerStatus {
	r.mu.Lock()
	now := time.Now()
	standing := relay.PeerStatus{
		Membership: members.Revision,
		Synced:     r.evidence.Synced(),
		StoreAge:   r.evidence.StoreAge(now),
		Contacts:   r.evidence.Contacts(now, self, members),
	}
	r.mu.Unlock()
	standing.Revisions = r.book.Revisions()
	return standing
}

// exchanged records an answered heartbeat.
func (r *records) exchanged(exchange relay.HeartbeatResponse, members fleet.Membership) {
	held := r.book.Revisions()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered = time.Now()
	r.evidence.RecordHeartbeat(exchange, held, members)
}

// confirmed records an answer of the store.
func (r *records) confirmed(prefix string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.RecordStore(prefix, at)
}

// retain forgets instances that are no longer members.
func (r *records) retain(members fleet.Membership) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.Retain(members)
}

// fresh reports whether the documents may govern new work now.
func (r *records) fresh(self types.InstanceID, members fleet.Membership) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.evidence.Check(time.Now(), self, members)
}

// silence returns how long no other instance has answered.
func (r *records) silence() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.answered)
}

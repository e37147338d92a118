package peers

import (
	"sync"
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/relay"
	"turmericpulley/core/types"
)

// documentState holds the cached documents and how recently they were known to be current. It is safe for concurrent
// use.
type documentState struct {
	cache *relay.Cache

	mu        sync.Mutex
	freshness *relay.Freshness
	// lastContact is when another instance last responded to a heartbeat.
	lastContact time.Time
}

func newDocumentState() *documentState {
	now := time.Now()
	return &documentState{cache: relay.NewCache(), freshness: relay.NewFreshness(now), lastContact: now}
}

// status returns the status of the documents that is sent in heartbeats. It reads the freshness before the revisions.
// Documents that arrive in between are then in the revisions but not yet in the freshness. In the other order, the
// freshness could apply to documents that the revisions do not include.
func (d *documentState) status(self types.InstanceID, members fleet.Membership) relay.PeerStatus {
	d.mu.Lock()
	now := time.Now()
	status := relay.PeerStatus{
		Membership: members.Revision,
		Synced:     d.freshness.Synced(),
		StoreAge:   d.freshness.StoreAge(now),
		Contacts:   d.freshness.Contacts(now, self, members),
	}
	d.mu.Unlock()
	status.Revisions = d.cache.Revisions()
	return status
}

// recordHeartbeat records the response to a heartbeat.
func (d *documentState) recordHeartbeat(response relay.HeartbeatResponse, members fleet.Membership) {
	held := d.cache.Revisions()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastContact = time.Now()
	d.freshness.RecordHeartbeat(response, held, members)
}

// recordStore records that the documents under the prefix were those of the store at the given time.
func (d *documentState) recordStore(prefix string, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freshness.RecordStore(prefix, at)
}

// retain discards the contacts with instances that are no longer members.
func (d *documentState) retain(members fleet.Membership) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freshness.Retain(members)
}

// checkFreshness returns nil when the documents are recent enough to be used for new work, and otherwise a fault.
func (d *documentState) checkFreshness(self types.InstanceID, members fleet.Membership) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.freshness.Check(time.Now(), self, members)
}

// sinceLastContact returns the time since another instance last responded to a heartbeat.
func (d *documentState) sinceLastContact() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.lastContact)
}

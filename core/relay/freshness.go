package relay

import (
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
)

const (
	// maxDocumentAge is the age from which documents must not be used for new work.
	maxDocumentAge = 2 * time.Second
	// smallFleetSize is the number of members up to which heartbeats always include contacts.
	smallFleetSize = 32
	// suspectStoreAge is the time without a confirmation by the store after which the store may be down. Heartbeats then
	// include contacts in large fleets too.
	suspectStoreAge = 100 * ageUnit
)

// Freshness records how recently the documents of an instance were known to be current; it is not safe for concurrent use.
//
// The store may accept a change that does not reach an instance. The documents are therefore fresh only in two cases: the
// store confirmed them recently, directly or through peers, or they include the documents that a majority of the members
// held recently. In the second case, a change that is in force at a majority has arrived here too. A restarted instance may
// have lost its documents, so it counts as a member of such a majority only once it is synced: its documents were current at
// some time after its start.
type Freshness struct {
	startedAt time.Time
	// synced is true once the documents here were current at some time after startedAt.
	synced bool
	// contractsAsOf is the latest time at which the store itself was known to hold no newer contracts; groupsAsOf is the same
	// for groups.
	contractsAsOf time.Time
	groupsAsOf    time.Time
	// peersAsOf is the same for all documents, according to the reports of peers.
	peersAsOf time.Time
	// contacts maps each instance to the latest time for which the documents here are known to include those that the
	// instance held at that time.
	contacts map[types.InstanceID]time.Time
}

// NewFreshness returns the freshness of an instance that starts without documents.
func NewFreshness(started time.Time) *Freshness {
	return &Freshness{startedAt: started, contacts: make(map[types.InstanceID]time.Time)}
}

// RecordStore records that at the given time the store held no newer documents under the prefix than this instance. The
// prefix is ContractPrefix or GroupPrefix.
func (f *Freshness) RecordStore(prefix string, at time.Time) {
	switch kindOf(prefix) {
	case contractKind:
		f.contractsAsOf = later(f.contractsAsOf, at)
	case groupKind:
		f.groupsAsOf = later(f.groupsAsOf, at)
	case unknownKind:
	}
	f.updateSynced()
}

// RecordHeartbeat records the answer to a heartbeat. The answer counts only when the peer is synced and the documents held
// here include those of the peer.
func (f *Freshness) RecordHeartbeat(response HeartbeatResponse, held Revisions, members fleet.Membership) {
	status := response.Status
	if !status.Synced || !held.Covers(status.Revisions) {
		return
	}
	defer f.updateSyncedByMajority(members)
	f.peersAsOf = later(f.peersAsOf, status.StoreAge.subtractFrom(response.SentAt))
	f.recordContact(response.Peer, response.SentAt)
	if status.Membership != members.Revision || len(status.Contacts) != len(members.Instances) {
		return
	}
	for index, age := range status.Contacts {
		f.recordContact(members.Instances[index].ID, age.subtractFrom(response.SentAt))
	}
}

// Check returns nil when the documents are fresh, so that they may be used for new work. Otherwise it returns a fault of kind
// fault.Isolated.
func (f *Freshness) Check(now time.Time, self types.InstanceID, members fleet.Membership) error {
	if isRecent(f.storeAsOf(), now) {
		return nil
	}
	if count := f.recentContacts(now, self, members); len(members.Instances) > 0 && 2*count > len(members.Instances) {
		return nil
	}
	return fault.New(fault.Isolated, "instance "+string(self)+" has no recent contact with the store or with a majority of instances")
}

// Synced reports whether the documents were current at some time after the start of the instance.
func (f *Freshness) Synced() bool { return f.synced }

// StoreAge returns how long ago the documents here were last known to be those of the store.
func (f *Freshness) StoreAge(now time.Time) Age { return ageOf(f.storeAsOf(), now) }

// Contacts returns the contacts for a heartbeat: for each member in order, how long ago it held documents that are included
// here. It returns nil in a large fleet while the store has confirmed the documents recently, because StoreAge then suffices.
func (f *Freshness) Contacts(now time.Time, self types.InstanceID, members fleet.Membership) []Age {
	if len(members.Instances) > smallFleetSize && now.Sub(f.storeAsOf()) < suspectStoreAge {
		return nil
	}
	ages := make([]Age, 0, len(members.Instances))
	for _, i := range members.Instances {
		if i.ID == self && f.synced {
			ages = append(ages, 0)
			continue
		}
		ages = append(ages, ageOf(f.contacts[i.ID], now))
	}
	return ages
}

// Retain forgets contacts with instances that are no longer members.
func (f *Freshness) Retain(members fleet.Membership) {
	for id := range f.contacts {
		if _, found := members.Find(id); !found {
			delete(f.contacts, id)
		}
	}
}

// recentContacts counts the members whose documents, as of less than maxDocumentAge ago, are included in those held here.
func (f *Freshness) recentContacts(now time.Time, self types.InstanceID, members fleet.Membership) int {
	count := 0
	for _, i := range members.Instances {
		if i.ID == self && f.synced || isRecent(f.contacts[i.ID], now) {
			count++
		}
	}
	return count
}

// updateSynced sets synced when the store's documents of a time after the start are included here.
func (f *Freshness) updateSynced() {
	f.synced = f.synced || f.storeAsOf().After(f.startedAt)
}

// updateSyncedByMajority also sets synced when documents that a majority of the members held after the start are included
// here.
func (f *Freshness) updateSyncedByMajority(members fleet.Membership) {
	f.updateSynced()
	count := 0
	for _, i := range members.Instances {
		if f.contacts[i.ID].After(f.startedAt) {
			count++
		}
	}
	f.synced = f.synced || 2*count > len(members.Instances)
}

// storeAsOf returns the latest time at which the documents here were known to be those of the store.
func (f *Freshness) storeAsOf() time.Time {
	confirmed := f.contractsAsOf
	if f.groupsAsOf.Before(confirmed) {
		confirmed = f.groupsAsOf
	}
	return later(confirmed, f.peersAsOf)
}

// recordContact records that the documents here include those that the instance held at the given time.
func (f *Freshness) recordContact(id types.InstanceID, at time.Time) {
	if at.After(f.contacts[id]) {
		f.contacts[id] = at
	}
}

func isRecent(at, now time.Time) bool { return !at.IsZero() && now.Sub(at) < maxDocumentAge }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

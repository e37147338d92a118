package relay

import (
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
)

const (
	// maxDocumentAge is the age from which documents may no longer govern new work.
	maxDocumentAge = 2 * time.Second
	// smallFleetSize is the size up to which contacts are always told.
	smallFleetSize = 32
	// suspectStoreAge is the age from which the store may be down, so that contacts are told in large fleets too.
	suspectStoreAge = 100 * ageUnit
)

// Freshness is what shows that the documents of an instance are current; it is not safe for concurrent use.
//
// The store may accept a change of which an instance hears nothing. The documents are therefore fresh only while the
// store confirmed them lately, directly or through peers, or while they include what a majority of the members lately
// held: a change that is in force at a majority has then arrived here too. An instance that started anew may have lost
// what it held, so it counts only once its documents were current at some time after its start.
type Freshness struct {
	startedAt     time.Time
	synced        bool
	contractsAsOf time.Time
	groupsAsOf    time.Time
	peersAsOf     time.Time
	contacts      map[types.InstanceID]time.Time
}

// NewFreshness returns the evidence of an instance that starts without documents.
func NewFreshness(started time.Time) *Freshness {
	return &Freshness{startedAt: started, contacts: make(map[types.InstanceID]time.Time)}
}

// RecordStore records that the store held no contract newer than those here at the time; the same for groups.
func (e *Freshness) RecordStore(prefix string, at time.Time) {
	switch kindOf(prefix) {
	case contractKind:
		e.contractsAsOf = later(e.contractsAsOf, at)
	case groupKind:
		e.groupsAsOf = later(e.groupsAsOf, at)
	case unknownKind:
	}
	e.updateSynced()
}

// RecordHeartbeat records an answered heartbeat. It counts only when the documents here include those of the peer.
func (e *Freshness) RecordHeartbeat(exchange HeartbeatResponse, held Revisions, members fleet.Membership) {
	standing := exchange.Status
	if !standing.Synced || !held.Covers(standing.Revisions) {
		return
	}
	defer e.updateSyncedByMajority(members)
	e.peersAsOf = later(e.peersAsOf, standing.StoreAge.subtractFrom(exchange.SentAt))
	e.recordContact(exchange.Peer, exchange.SentAt)
	if standing.Membership != members.Revision || len(standing.Contacts) != len(members.Instances) {
		return
	}
	for index, age := range standing.Contacts {
		e.recordContact(members.Instances[index].ID, age.subtractFrom(exchange.SentAt))
	}
}

// Check returns nil when the documents may govern new work, else a fault of the kind fault.Isolated.
func (e *Freshness) Check(now time.Time, self types.InstanceID, members fleet.Membership) error {
	if isRecent(e.storeAsOf(), now) {
		return nil
	}
	if heard := e.recentContacts(now, self, members); len(members.Instances) > 0 && 2*heard > len(members.Instances) {
		return nil
	}
	return fault.New(fault.Isolated, "instance "+string(self)+" hears neither the store nor a majority of instances")
}

// Synced reports whether the documents were current at some time after the start.
func (e *Freshness) Synced() bool { return e.synced }

// StoreAge returns how long ago the documents here were known to be those of the store.
func (e *Freshness) StoreAge(now time.Time) Age { return ageOf(e.storeAsOf(), now) }

// Contacts returns what to tell others about the members, empty when the store's word suffices.
func (e *Freshness) Contacts(now time.Time, self types.InstanceID, members fleet.Membership) []Age {
	if len(members.Instances) > smallFleetSize && now.Sub(e.storeAsOf()) < suspectStoreAge {
		return nil
	}
	ages := make([]Age, 0, len(members.Instances))
	for _, i := range members.Instances {
		if i.ID == self && e.synced {
			ages = append(ages, 0)
			continue
		}
		ages = append(ages, ageOf(e.contacts[i.ID], now))
	}
	return ages
}

// Retain forgets contacts with instances that are no longer members.
func (e *Freshness) Retain(members fleet.Membership) {
	for id := range e.contacts {
		if _, found := members.Find(id); !found {
			delete(e.contacts, id)
		}
	}
}

// recentContacts counts the members whose recent documents are included here.
func (e *Freshness) recentContacts(now time.Time, self types.InstanceID, members fleet.Membership) int {
	count := 0
	for _, i := range members.Instances {
		if i.ID == self && e.synced || isRecent(e.contacts[i.ID], now) {
			count++
		}
	}
	return count
}

// updateSynced notes that the store's documents of a time after the start are here.
func (e *Freshness) updateSynced() {
	e.synced = e.synced || e.storeAsOf().After(e.startedAt)
}

// updateSyncedByMajority notes the same when the documents of a majority of others are here.
func (e *Freshness) updateSyncedByMajority(members fleet.Membership) {
	e.updateSynced()
	count := 0
	for _, i := range members.Instances {
		if e.contacts[i.ID].After(e.startedAt) {
			count++
		}
	}
	e.synced = e.synced || 2*count > len(members.Instances)
}

// storeAsOf returns when the documents were last known to be those of the store.
func (e *Freshness) storeAsOf() time.Time {
	direct := e.contractsAsOf
	if e.groupsAsOf.Before(direct) {
		direct = e.groupsAsOf
	}
	return later(direct, e.peersAsOf)
}

func (e *Freshness) recordContact(id types.InstanceID, at time.Time) {
	if at.After(e.contacts[id]) {
		e.contacts[id] = at
	}
}

func isRecent(at, now time.Time) bool { return !at.IsZero() && now.Sub(at) < maxDocumentAge }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

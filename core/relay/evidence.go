package relay

import (
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
)

const (
	// freshnessBound is the age from which documents may no longer govern new work.
	freshnessBound = 2 * time.Second
	// smallFleet is the size up to which contacts are always told.
	smallFleet = 32
	// quietStoreAge is the age from which the store may be down, so that contacts are told in large fleets too.
	quietStoreAge = 100 * ageUnit
)

// Evidence is what shows that the documents of an instance are current; it is not safe for concurrent use.
//
// The store may accept a change of which an instance hears nothing. The documents are therefore fresh only while the
// store confirmed them lately, directly or through peers, or while they include what a majority of the members lately
// held: a change that is in force at a majority has then arrived here too. An instance that started anew may have lost
// what it held, so it counts only once its documents were current at some time after its start.
type Evidence struct {
	started   time.Time
	settled   bool
	contracts time.Time
	groups    time.Time
	peers     time.Time
	contacts  map[types.InstanceID]time.Time
}

// NewEvidence returns the evidence of an instance that starts without documents.
func NewEvidence(started time.Time) *Evidence {
	return &Evidence{started: started, contacts: make(map[types.InstanceID]time.Time)}
}

// Confirmed records that the store held no contract newer than those here at the time; the same for groups.
func (e *Evidence) Confirmed(prefix string, at time.Time) {
	switch sourceOf(prefix) {
	case contractSource:
		e.contracts = later(e.contracts, at)
	case groupSource:
		e.groups = later(e.groups, at)
	case unknownSource:
	}
	e.settle()
}

// Exchanged records an answered heartbeat. It counts only when the documents here include those of the peer.
func (e *Evidence) Exchanged(exchange Exchange, held Revisions, members fleet.Membership) {
	standing := exchange.Standing
	if !standing.Settled || !held.Covers(standing.Revisions) {
		return
	}
	defer e.settleAmong(members)
	e.peers = later(e.peers, standing.StoreAge.before(exchange.Sent))
	e.contact(exchange.Peer, exchange.Sent)
	if standing.Membership != members.Revision || len(standing.Contacts) != len(members.Instances) {
		return
	}
	for index, age := range standing.Contacts {
		e.contact(members.Instances[index].ID, age.before(exchange.Sent))
	}
}

// Fresh returns nil when the documents may govern new work, else a fault of the kind fault.Isolated.
func (e *Evidence) Fresh(now time.Time, self types.InstanceID, members fleet.Membership) error {
	if recent(e.store(), now) {
		return nil
	}
	if heard := e.heard(now, self, members); len(members.Instances) > 0 && 2*heard > len(members.Instances) {
		return nil
	}
	return fault.New(fault.Isolated, "instance "+string(self)+" hears neither the store nor a majority of instances")
}

// Settled reports whether the documents were current at some time after the start.
func (e *Evidence) Settled() bool { return e.settled }

// StoreAge returns how long ago the documents here were known to be those of the store.
func (e *Evidence) StoreAge(now time.Time) Age { return ageOf(e.store(), now) }

// Contacts returns what to tell others about the members, empty when the store's word suffices.
func (e *Evidence) Contacts(now time.Time, self types.InstanceID, members fleet.Membership) []Age {
	if len(members.Instances) > smallFleet && now.Sub(e.store()) < quietStoreAge {
		return nil
	}
	ages := make([]Age, 0, len(members.Instances))
	for _, i := range members.Instances {
		if i.ID == self && e.settled {
			ages = append(ages, 0)
			continue
		}
		ages = append(ages, ageOf(e.contacts[i.ID], now))
	}
	return ages
}

// Retain forgets contacts with instances that are no longer members.
func (e *Evidence) Retain(members fleet.Membership) {
	for id := range e.contacts {
		if _, found := members.Find(id); !found {
			delete(e.contacts, id)
		}
	}
}

// heard counts the members whose recent documents are included here.
func (e *Evidence) heard(now time.Time, self types.InstanceID, members fleet.Membership) int {
	count := 0
	for _, i := range members.Instances {
		if i.ID == self && e.settled || recent(e.contacts[i.ID], now) {
			count++
		}
	}
	return count
}

// settle notes that the store's documents of a time after the start are here.
func (e *Evidence) settle() {
	e.settled = e.settled || e.store().After(e.started)
}

// settleAmong notes the same when the documents of a majority of others are here.
func (e *Evidence) settleAmong(members fleet.Membership) {
	e.settle()
	count := 0
	for _, i := range members.Instances {
		if e.contacts[i.ID].After(e.started) {
			count++
		}
	}
	e.settled = e.settled || 2*count > len(members.Instances)
}

// store returns when the documents were last known to be those of the store.
func (e *Evidence) store() time.Time {
	direct := e.contracts
	if e.groups.Before(direct) {
		direct = e.groups
	}
	return later(direct, e.peers)
}

func (e *Evidence) contact(id types.InstanceID, at time.Time) {
	if at.After(e.contacts[id]) {
		e.contacts[id] = at
	}
}

func recent(at, now time.Time) bool { return !at.IsZero() && now.Sub(at) < freshnessBound }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

package reach

import (
	"sync"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/hold"
	"turmericpulley/core/types"
)

const (
	// takeoverTime is how long a dead owner's successor usually takes to serve: two pings of 250 ms that are 130 ms apart, up to
	// 300 ms before the first of them, and the claim.
	takeoverTime = 1200 * time.Millisecond
	// outageMemory is the time after the last failed attempt after which an outage counts as over. It exceeds the time between two
	// attempts of a search.
	outageMemory = 2 * time.Second
	// bridgeMemory is the same while the owner's standby serves in its place: as long as a standby may act without the store.
	bridgeMemory = hold.StandbyLeaseDuration
	// searchMemory is the time after the last request for a database after which the search for its owner ends.
	searchMemory = 10 * time.Second
)

// Owners records which databases' owners this instance does not reach; it is safe for concurrent use.
//
// It answers a network that is split for longer than a takeover takes, while the owner is on the other side. A request that waits for
// an owner until its timeout cannot be served any more. One that is refused at once can be repeated at another instance, which may be
// on the owner's side. While a takeover may still bring an owner, requests wait for it, because a refused caller would find none
// elsewhere either. A standby that acts for the owner ends the refusals, but not the outage: when it may act no longer, no takeover is
// to be expected.
type Owners struct {
	clock clock.Clock

	mu      sync.Mutex
	outages map[types.DatabaseID]*outage
	// answeredAt is when the owner of each database last answered.
	answeredAt map[types.DatabaseID]clock.Moment
}

// outage is the time during which the owner of a database has not answered this instance.
type outage struct {
	since, lastSeen, lastRequest clock.Moment
	// bridged is set while the owner's standby serves in its place.
	bridged bool
	// searched is set while a search for the owner runs.
	searched bool
	// reported is set when RecordFailure has reported that requests are refused.
	reported bool
}

// NewOwners returns a record without outages.
func NewOwners(c clock.Clock) *Owners {
	return &Owners{clock: c, outages: map[types.DatabaseID]*outage{}, answeredAt: map[types.DatabaseID]clock.Moment{}}
}

// RecordFailure records that an attempt that began at the given moment found no owner of the database. The outage began then, or at the
// last answer to another request if that was later. It reports whether requests for the database are refused from now on.
func (o *Owners) RecordFailure(database types.DatabaseID, began clock.Moment) (refusing bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	current := o.current(database)
	if current == nil {
		current = &outage{since: max(began, o.answeredAt[database]), lastRequest: now}
		o.outages[database] = current
	}
	current.lastSeen, current.bridged = now, false
	refusing = o.unreached(current) && !current.reported
	current.reported = current.reported || refusing
	return refusing
}

// RecordSuccess records that the database's owner has answered, or that this instance is the owner. It reports whether this ends a time in which requests were refused.
func (o *Owners) RecordSuccess(database types.DatabaseID) (ended bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	current := o.outages[database]
	delete(o.outages, database)
	o.answeredAt[database] = o.clock.Now()
	return current != nil && current.reported
}

// RecordBridged records that the standby has served a request in place of the database's owner. It reports whether this ends a time in
// which requests were refused.
func (o *Owners) RecordBridged(database types.DatabaseID) (ended bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	current := o.current(database)
	if current == nil {
		return false
	}
	ended = current.reported
	current.lastSeen, current.bridged, current.reported = o.clock.Now(), true, false
	return ended
}

// Bridged reports whether the standby of the database's owner lately served in its place, so that it is to be tried first.
func (o *Owners) Bridged(database types.DatabaseID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	current := o.current(database)
	return current != nil && current.bridged
}

// Missing reports whether the last attempt found no owner of the database.
func (o *Owners) Missing(database types.DatabaseID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	current := o.current(database)
	return current != nil && !current.bridged
}

// Unreached reports whether neither the owner of the database nor its standby has answered for longer than a takeover takes.
func (o *Owners) Unreached(database types.DatabaseID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.unreached(o.current(database))
}

// Refuse reports whether a request for the database is refused at once, and records the request.
func (o *Owners) Refuse(database types.DatabaseID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	current := o.current(database)
	if current == nil {
		return false
	}
	current.lastRequest = o.clock.Now()
	return o.unreached(current)
}

func (o *Owners) unreached(current *outage) bool {
	return current != nil && !current.bridged && o.clock.Since(current.since) >= takeoverTime
}

// BeginSearch reports whether the caller should begin a search for the database's owner: no instance serves it and no search runs.
func (o *Owners) BeginSearch(database types.DatabaseID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	current := o.current(database)
	if current == nil || current.bridged || current.searched {
		return false
	}
	current.searched = true
	return true
}

// ContinueSearch reports whether the search goes on: no instance serves the database, and requests for it still arrive.
func (o *Owners) ContinueSearch(database types.DatabaseID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	current := o.current(database)
	if current == nil {
		return false
	}
	current.searched = !current.bridged && o.clock.Since(current.lastRequest) < searchMemory
	return current.searched
}

// current returns the database's outage, or nil when there is none or it was last seen long ago. The caller holds the lock.
func (o *Owners) current(database types.DatabaseID) *outage {
	current := o.outages[database]
	if current == nil {
		return nil
	}
	memory := outageMemory
	if current.bridged {
		memory = bridgeMemory
	}
	if o.clock.Since(current.lastSeen) < memory {
		return current
	}
	delete(o.outages, database)
	return nil
}

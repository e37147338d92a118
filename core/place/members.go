package place

import (
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

// Member describes a member to the desk.
type Member struct {
	Target types.TargetID
	// Slots is the work that the member runs at once.
	Slots int
	// MaxConnections is the most connections that this owner may open to it.
	MaxConnections int
	// SameDataCentre tells that the member is in the owner's data centre.
	SameDataCentre bool
	// Usable members take new work.
	Usable bool
}

// SetMembers replaces the members; those that stay keep what is known of them.
func (d *Scheduler) SetMembers(members []Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	present := make(map[types.TargetID]bool, len(members))
	for _, m := range members {
		present[m.Target] = true
		s := d.members[m.Target]
		if s == nil {
			s = &memberState{target: m.Target, lag: replicationLag{estimate: initialLag}}
			d.members[m.Target] = s
		}
		s.slots, s.maxConnections, s.sameDataCentre, s.usable = m.Slots, m.MaxConnections, m.SameDataCentre, m.Usable
	}
	for target, s := range d.members {
		if !present[target] {
			s.usable = false
			if s.inFlight == 0 && s.heldConnections == 0 {
				delete(d.members, target)
			}
		}
	}
	d.dispatch(d.clock.Now())
}

// SetPrimary lets work go to the primary of the term. A new one starts a new history at the position, and floors of earlier
// terms are replaced by it, because the promotion may have dropped the positions that they name.
func (d *Scheduler) SetPrimary(primary types.TargetID, term types.Term, position types.LogPosition, asked clock.Moment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.primary != primary || d.term != term {
		d.history.Reset()
		d.termStart, d.term = position, term
	}
	d.primary, d.primaryActive, d.primaryExpectedAt = primary, true, 0
	d.history.Record(position, asked)
	d.dispatch(d.clock.Now())
}

// SuspendPrimary keeps work from the primary; one is expected to be open again after the span.
func (d *Scheduler) SuspendPrimary(back time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.primaryActive, d.primaryExpectedAt = false, now.Add(back)
	d.dispatch(now)
}

// Primary returns the primary and whether work may go to it.
func (d *Scheduler) Primary() (types.TargetID, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.primary, d.primaryActive
}

// RecordPrimaryPosition records the position of the primary that came with an answer to a question asked at the moment.
func (d *Scheduler) RecordPrimaryPosition(target types.TargetID, position types.LogPosition, asked clock.Moment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if target == d.primary && d.primaryActive {
		d.history.Record(position, asked)
	}
}

// RecordReplicaPosition records the position that a replica has applied.
func (d *Scheduler) RecordReplicaPosition(target types.TargetID, position types.LogPosition) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.members[target]; s != nil && target != d.primary {
		s.lag.record(position, &d.history, d.clock.Now())
	}
}

// MinPosition returns the position that a replica must hold for a read of data that is at most maxAge old and includes the
// session's own commits; false when only the primary can serve it.
func (d *Scheduler) MinPosition(maxAge time.Duration, own types.LogPosition) (types.LogPosition, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	floor, known := d.history.MinPositionAt(d.clock.Now().Add(-maxAge))
	if !known {
		return types.LogPosition{}, false
	}
	if own.Term < d.term && !own.IsZero() {
		own = d.termStart
	}
	return floor.Max(own), true
}

// LastContact returns since when nothing was heard of the member; false when it is unknown.
func (d *Scheduler) LastContact(target types.TargetID) (clock.Moment, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if target == d.primary {
		_, asked, known := d.history.Last()
		return asked, known
	}
	if s := d.members[target]; s != nil {
		return s.lag.lastContact, true
	}
	return 0, false
}

// InUse returns the statements in flight at the member and the connections in use.
func (d *Scheduler) InUse(target types.TargetID) (statements, connections int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.members[target]; s != nil {
		return s.inFlight, s.heldConnections
	}
	return 0, 0
}

// ExpectedServiceTime returns how long members usually work at a statement of the class.
func (d *Scheduler) ExpectedServiceTime(c Class) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.serviceTimes.expected(c)
}

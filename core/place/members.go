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
	// Connections is the most connections that this owner may open to it.
	Connections int
	// Near tells that the member is in the owner's data centre.
	Near bool
	// Usable members take new work.
	Usable bool
}

// SetMembers replaces the members; those that stay keep what is known of them.
func (d *Desk) SetMembers(members []Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	present := make(map[types.TargetID]bool, len(members))
	for _, m := range members {
		present[m.Target] = true
		s := d.seats[m.Target]
		if s == nil {
			s = &seat{target: m.Target, lag: lag{estimate: initialLag}}
			d.seats[m.Target] = s
		}
		s.slots, s.connections, s.near, s.usable = m.Slots, m.Connections, m.Near, m.Usable
	}
	for target, s := range d.seats {
		if !present[target] {
			s.usable = false
			if s.busy == 0 && s.held == 0 {
				delete(d.seats, target)
			}
		}
	}
	d.dispatch(d.clock.Now())
}

// Open lets work go to the primary of the term. A new one starts a new history at the position, and floors of earlier
// terms are replaced by it, because the promotion may have dropped the positions that they name.
func (d *Desk) Open(primary types.TargetID, term types.Term, position types.LogPosition, asked clock.Moment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.primary != primary || d.term != term {
		d.history.Reset()
		d.base, d.term = position, term
	}
	d.primary, d.open, d.back = primary, true, 0
	d.history.Note(position, asked)
	d.dispatch(d.clock.Now())
}

// Shut keeps work from the primary; one is expected to be open again after the span.
func (d *Desk) Shut(back time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.open, d.back = false, now.Add(back)
	d.dispatch(now)
}

// Primary returns the primary and whether work may go to it.
func (d *Desk) Primary() (types.TargetID, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.primary, d.open
}

// NotePrimary records the position of the primary that came with an answer to a question asked at the moment.
func (d *Desk) NotePrimary(target types.TargetID, position types.LogPosition, asked clock.Moment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if target == d.primary && d.open {
		d.history.Note(position, asked)
	}
}

// NoteReplica records the position that a replica has applied.
func (d *Desk) NoteReplica(target types.TargetID, position types.LogPosition) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.seats[target]; s != nil && target != d.primary {
		s.lag.note(position, &d.history, d.clock.Now())
	}
}

// Floor returns the position that a replica must hold for a read of data that is at most maxAge old and includes the
// session's own commits; false when only the primary can serve it.
func (d *Desk) Floor(maxAge time.Duration, own types.LogPosition) (types.LogPosition, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	floor, known := d.history.FloorAt(d.clock.Now().Add(-maxAge))
	if !known {
		return types.LogPosition{}, false
	}
	if own.Term < d.term && !own.IsZero() {
		own = d.base
	}
	return floor.Max(own), true
}

// Quiet returns since when nothing was heard of the member; false when it is unknown.
func (d *Desk) Quiet(target types.TargetID) (clock.Moment, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if target == d.primary {
		_, asked, known := d.history.Last()
		return asked, known
	}
	if s := d.seats[target]; s != nil {
		return s.lag.heard, true
	}
	return 0, false
}

// InUse returns the statements in flight at the member and the connections in use.
func (d *Desk) InUse(target types.TargetID) (statements, connections int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.seats[target]; s != nil {
		return s.busy, s.held
	}
	return 0, 0
}

// Expected returns how long members usually work at a statement of the class.
func (d *Desk) Expected(c Class) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.work.expected(c)
}

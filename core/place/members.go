package place

import (
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

// Member describes a member of the database to the scheduler.
type Member struct {
	Target types.TargetID
	// Slots is the number of statements that the member runs at once.
	Slots int
	// MaxConnections is the largest number of connections that this owner may open to the member.
	MaxConnections int
	// SameDataCentre reports whether the member is in the owner's data centre.
	SameDataCentre bool
	// Usable reports whether the member takes new statements, and UsableUntil until when; zero means that there is no end.
	Usable      bool
	UsableUntil clock.Moment
	// Connections knows the connections to the member; with nil there is one for each statement.
	Connections Connections
}

// SetMembers replaces the members; a member that stays keeps its state.
func (s *Scheduler) SetMembers(members []Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := make(map[types.TargetID]bool, len(members))
	for _, m := range members {
		present[m.Target] = true
		state := s.members[m.Target]
		if state == nil {
			state = &memberState{target: m.Target, lag: replicationLag{estimate: initialLag}}
			s.members[m.Target] = state
		}
		state.slots, state.maxConnections, state.sameDataCentre, state.usable = m.Slots, m.MaxConnections, m.SameDataCentre, m.Usable
		state.usableUntil, state.connections = m.UsableUntil, m.Connections
	}
	for target, state := range s.members {
		if !present[target] {
			state.usable = false
			if state.inFlight == 0 && state.heldConnections == 0 {
				delete(s.members, target)
			}
		}
	}
	s.dispatch(s.clock.Now())
}

// SetPrimary lets statements go to the primary of the term. The position is the end of its log, as read by a query sent at
// sentAt. A new primary or term starts a new history. MinPosition then uses the position instead of a last commit of an
// earlier term, because the promotion may have dropped the log entry of that commit.
//
// A primary that has not written since its promotion reports a position of an earlier term. It counts as one of its own term: replicas with
// commits that the promotion dropped are beyond the position in the earlier term.
func (s *Scheduler) SetPrimary(primary types.TargetID, term types.Term, position types.LogPosition, sentAt clock.Moment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.primary != primary || s.term != term {
		s.history.Reset()
		s.term = term
		s.termStart = s.inPrimaryTerm(position)
	}
	s.primary, s.primaryActive, s.primaryExpectedAt = primary, true, 0
	s.history.Record(s.inPrimaryTerm(position), sentAt)
	s.dispatch(s.clock.Now())
}

// SuspendPrimary stops sending statements to the primary; one is expected to be active again after the delay.
func (s *Scheduler) SuspendPrimary(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.primaryActive, s.primaryExpectedAt = false, now.Add(delay)
	s.dispatch(now)
}

// Primary returns the primary and whether statements may be sent to it.
func (s *Scheduler) Primary() (types.TargetID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.primary, s.primaryActive
}

// RecordPrimaryPosition records the log position that the primary returned with its answer to a request sent at sentAt.
func (s *Scheduler) RecordPrimaryPosition(target types.TargetID, position types.LogPosition, sentAt clock.Moment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if target == s.primary && s.primaryActive {
		s.history.Record(s.inPrimaryTerm(position), sentAt)
	}
}

// inPrimaryTerm returns the position of the primary's log in the primary's term.
func (s *Scheduler) inPrimaryTerm(position types.LogPosition) types.LogPosition {
	position.Term = max(position.Term, s.term)
	return position
}

// RecordReplicaPosition records the position that a replica has applied.
func (s *Scheduler) RecordReplicaPosition(target types.TargetID, position types.LogPosition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.members[target]; m != nil && target != s.primary {
		m.lag.record(position, &s.history, s.clock.Now())
	}
}

// MinPosition returns the position that a replica must have applied to serve a read of data that is at most maxAge old and
// includes the session's last commit. It returns false when only the primary can serve the read.
func (s *Scheduler) MinPosition(maxAge time.Duration, lastCommit types.LogPosition) (types.LogPosition, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	position, known := s.history.MinPositionAt(s.clock.Now().Add(-maxAge))
	if !known {
		return types.LogPosition{}, false
	}
	if lastCommit.Term < s.term && !lastCommit.IsZero() {
		lastCommit = s.termStart
	}
	return position.Max(lastCommit), true
}

// LastContact returns the moment of the last contact with the member; false when the member is not known, or when it is the
// primary and its history is empty. The moment is zero for a replica that was never in contact.
func (s *Scheduler) LastContact(target types.TargetID) (clock.Moment, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if target == s.primary {
		_, sentAt, known := s.history.Last()
		return sentAt, known
	}
	if m := s.members[target]; m != nil {
		return m.lag.lastContact, true
	}
	return 0, false
}

// InUse returns the number of statements in flight at the member and of its connections in use.
func (s *Scheduler) InUse(target types.TargetID) (statements, connections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.members[target]; m != nil {
		return m.inFlight, m.heldConnections
	}
	return 0, 0
}

// HasSpareSlots reports whether a member has work for less than half of its slots and no statement waits, so that connections may be opened
// ahead.
func (s *Scheduler) HasSpareSlots(target types.TargetID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[target]
	return m != nil && m.usable && len(s.waiting) == 0 && m.hasFreeSlotBeyond(m.slots/2)
}

// ExpectedServiceTime returns the average time that members work on a statement of the class.
func (s *Scheduler) ExpectedServiceTime(c Class) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serviceTimes.expected(c)
}

package owner

import (
	"sync"
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/quorum"
	"turmericpulley/core/types"
)

// state holds the phase of an ownership and what its members reported; it is safe for concurrent use.
type state struct {
	epoch    types.Epoch
	majority int

	mu        sync.Mutex
	phase     phase
	primary   types.TargetID
	term      types.Term
	committed types.Position
	position  types.Position
	// commitStalledSince is the time since which writes wait without any confirmation; zero when none waits.
	commitStalledSince time.Time
	positionHistory    quorum.PositionHistory
	observations       map[types.TargetID]quorum.Observation
	// downSince holds the times at which unreachable members were marked down.
	downSince map[types.TargetID]time.Time
	claims    []quorum.Status
	// promotions counts how often this owner asked each member to become primary.
	promotions map[types.TargetID]int
	// serveAfter is the time at which the leases of previous owners are over.
	serveAfter    time.Time
	highestEpoch  types.Epoch
	commitWaiters map[*commitWaiter]struct{}
	changed       chan struct{}
}

func newState(epoch types.Epoch, majority int) *state {
	return &state{
		epoch:         epoch,
		majority:      majority,
		highestEpoch:  epoch,
		observations:  map[types.TargetID]quorum.Observation{},
		downSince:     map[types.TargetID]time.Time{},
		promotions:    map[types.TargetID]int{},
		commitWaiters: map[*commitWaiter]struct{}{},
		changed:       make(chan struct{}),
	}
}

// recordObservation stores what a member reported; it returns false when a newer owner has claimed the member.
func (s *state) recordObservation(o quorum.Observation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Epoch > s.epoch {
		s.highestEpoch = max(s.highestEpoch, o.Epoch)
		s.endOwnershipLocked()
		return false
	}
	if last, ok := s.observations[o.Target]; ok && o.SentAt.Before(last.SentAt) {
		return true
	}
	s.observations[o.Target] = o
	delete(s.downSince, o.Target)
	if s.phase >= serving && o.Target == s.primary && o.Role == quorum.Primary && o.Term == s.term {
		s.recordPrimaryLocked(o)
	}
	s.notifyLocked()
	return true
}

func (s *state) recordPrimaryLocked(o quorum.Observation) {
	if o.Committed > s.committed || s.commitStalledSince.IsZero() {
		s.commitStalledSince = o.SentAt
	}
	s.committed = max(s.committed, o.Committed)
	s.position = max(s.position, o.Position)
	if s.committed >= s.position {
		s.commitStalledSince = time.Time{}
	}
	s.positionHistory.Record(o.Position, o.SentAt)
	s.completeWaitersLocked()
}

// recordClaim stores the answer to the first claim on a member. The answer determines how long the owner waits before it
// serves.
func (s *state) recordClaim(o quorum.Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claims = append(s.claims, o.Status)
	s.serveAfter = maxTime(s.serveAfter, time.Now().Add(quorum.WaitAfterClaim([]quorum.Status{o.Status})))
}

// markDown records that a member cannot be reached.
func (s *state) markDown(target types.TargetID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.downSince[target]; !ok {
		s.downSince[target] = time.Now()
		s.notifyLocked()
	}
}

// leaseValid reports whether the lease is valid, so that no other owner can have started to serve.
func (s *state) leaseValid() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseValidLocked()
}

func (s *state) leaseValidLocked() bool { return time.Now().Before(s.leaseExpiryLocked()) }

// leaseExpiry returns the time before which no other owner can have started to serve.
func (s *state) leaseExpiry() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseExpiryLocked()
}

func (s *state) leaseExpiryLocked() time.Time {
	if s.phase == lost {
		return time.Time{}
	}
	observations := make([]quorum.Observation, 0, len(s.observations))
	for _, o := range s.observations {
		observations = append(observations, o)
	}
	return quorum.LeaseExpiry(observations, s.epoch, s.majority)
}

// reachable returns the last observations of the members that can be reached.
func (s *state) reachable() []quorum.Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reachableLocked()
}

func (s *state) reachableLocked() []quorum.Observation {
	reachable := make([]quorum.Observation, 0, len(s.observations))
	for target, o := range s.observations {
		if _, isDown := s.downSince[target]; !isDown {
			reachable = append(reachable, o)
		}
	}
	return reachable
}

// endOwnership ends the ownership; epoch is that of the next owner, zero when it is unknown.
func (s *state) endOwnership(epoch types.Epoch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.highestEpoch = max(s.highestEpoch, epoch)
	s.endOwnershipLocked()
}

func (s *state) endOwnershipLocked() {
	if s.phase == lost {
		return
	}
	s.phase = lost
	for w := range s.commitWaiters {
		w.done <- fault.New(fault.OutcomeUnknown, "the ownership of the database ended before a majority confirmed the write")
	}
	clear(s.commitWaiters)
	s.notifyLocked()
}

func (s *state) setPhase(p phase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != lost && s.phase != p {
		s.phase = p
		s.notifyLocked()
	}
}

// changes returns a channel that closes at the next change.
func (s *state) changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *state) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

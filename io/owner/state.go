package owner

import (
	"sync"
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/quorum"
	"turmericpulley/core/types"
)

// state is what an owner knows about the members of its database; it is safe for concurrent use.
type state struct {
	epoch    types.Epoch
	majority int

	mu           sync.Mutex
	phase        phase
	primary      types.TargetID
	term         types.Term
	committed    types.Position
	position     types.Position
	behindSince  time.Time
	ages         quorum.PositionHistory
	observations map[types.TargetID]quorum.Observation
	down         map[types.TargetID]time.Time
	claims       []quorum.Status
	// promotions counts how often this owner asked each member to become primary.
	promotions   map[types.TargetID]int
	serveAfter   time.Time
	highestEpoch types.Epoch
	waiters      map[*commitWaiter]struct{}
	changed      chan struct{}
}

func newState(epoch types.Epoch, majority int) *state {
	return &state{
		epoch:        epoch,
		majority:     majority,
		highestEpoch: epoch,
		observations: map[types.TargetID]quorum.Observation{},
		down:         map[types.TargetID]time.Time{},
		promotions:   map[types.TargetID]int{},
		waiters:      map[*commitWaiter]struct{}{},
		changed:      make(chan struct{}),
	}
}

// observe takes in what a member reported; it returns false when the member belongs to another owner.
func (s *state) observe(o quorum.Observation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Epoch > s.epoch {
		s.highestEpoch = max(s.highestEpoch, o.Epoch)
		s.loseLocked()
		return false
	}
	if last, ok := s.observations[o.Target]; ok && o.SentAt.Before(last.SentAt) {
		return true
	}
	s.observations[o.Target] = o
	delete(s.down, o.Target)
	if s.phase >= serving && o.Target == s.primary && o.Role == quorum.Primary && o.Term == s.term {
		s.observePrimaryLocked(o)
	}
	s.signalLocked()
	return true
}

func (s *state) observePrimaryLocked(o quorum.Observation) {
	if o.Committed > s.committed || s.behindSince.IsZero() {
		s.behindSince = o.SentAt
	}
	s.committed = max(s.committed, o.Committed)
	s.position = max(s.position, o.Position)
	if s.committed >= s.position {
		s.behindSince = time.Time{}
	}
	s.ages.Record(o.Position, o.SentAt)
	s.releaseLocked()
}

// claimed records the answer to a first claim, for the wait after it.
func (s *state) claimed(o quorum.Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claims = append(s.claims, o.Status)
	s.serveAfter = maxTime(s.serveAfter, time.Now().Add(quorum.WaitAfterClaim([]quorum.Status{o.Status})))
}

// markDown records that a member cannot be reached.
func (s *state) markDown(target types.TargetID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.down[target]; !ok {
		s.down[target] = time.Now()
		s.signalLocked()
	}
}

// leaseHolds reports whether no other owner can have started to serve yet.
func (s *state) leaseHolds() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseHoldsLocked()
}

func (s *state) leaseHoldsLocked() bool { return time.Now().Before(s.leaseUntilLocked()) }

// leaseUntil returns the time up to which no other owner can have started to serve.
func (s *state) leaseUntil() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseUntilLocked()
}

func (s *state) leaseUntilLocked() time.Time {
	if s.phase == lost {
		return time.Time{}
	}
	observations := make([]quorum.Observation, 0, len(s.observations))
	for _, o := range s.observations {
		observations = append(observations, o)
	}
	return quorum.LeaseExpiry(observations, s.epoch, s.majority)
}

// up returns what the members that can be reached reported.
func (s *state) up() []quorum.Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upLocked()
}

func (s *state) upLocked() []quorum.Observation {
	up := make([]quorum.Observation, 0, len(s.observations))
	for target, o := range s.observations {
		if _, isDown := s.down[target]; !isDown {
			up = append(up, o)
		}
	}
	return up
}

// lose ends the ownership; epoch is that of the owner that came after, or zero.
func (s *state) lose(epoch types.Epoch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.highestEpoch = max(s.highestEpoch, epoch)
	s.loseLocked()
}

func (s *state) loseLocked() {
	if s.phase == lost {
		return
	}
	s.phase = lost
	for w := range s.waiters {
		w.done <- fault.New(fault.OutcomeUnknown, "the database changed hands before a majority confirmed the write")
	}
	clear(s.waiters)
	s.signalLocked()
}

func (s *state) setPhase(p phase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != lost && s.phase != p {
		s.phase = p
		s.signalLocked()
	}
}

// changes returns a channel that closes at the next change.
func (s *state) changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *state) signalLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

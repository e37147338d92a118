package owner

import (
	"context"
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/quorum"
	"turmericpulley/core/types"
)

// awaitCommitted waits until a majority of members holds the position that the primary of the term reported.
func (s *state) awaitCommitted(ctx context.Context, term types.Term, position types.Position) error {
	s.mu.Lock()
	if s.phase == lost || term < s.term {
		s.mu.Unlock()
		return fault.New(fault.OutcomeUnknown, "the primary was replaced before a majority confirmed the write")
	}
	if term == s.term && position <= s.committed {
		s.mu.Unlock()
		return nil
	}
	w := &commitWaiter{term: term, position: position, done: make(chan error, 1)}
	s.commitWaiters[w] = struct{}{}
	s.position = max(s.position, position)
	if s.commitStalledSince.IsZero() {
		s.commitStalledSince = time.Now()
	}
	s.mu.Unlock()

	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.commitWaiters, w)
		return fault.New(fault.OutcomeUnknown, "the request timed out before a majority confirmed it")
	}
}

// completeWaitersLocked ends the wait for all positions that are confirmed.
func (s *state) completeWaitersLocked() {
	for w := range s.commitWaiters {
		if w.term == s.term && w.position <= s.committed {
			delete(s.commitWaiters, w)
			w.done <- nil
		}
	}
}

// setPrimary starts to serve with a primary. elected is the member's status at its election, nil when the member had been
// promoted before.
//
// Waiting writes that are in the elected log keep waiting, now for the first entry of the new term: once a majority holds that
// entry, all entries before it are confirmed too. keptWrites is their number. Waiting writes of other terms that are not in the
// elected log can no longer be confirmed.
func (s *state) setPrimary(primary quorum.Observation, elected *quorum.Status) (keptWrites int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == lost {
		return 0
	}
	for w := range s.commitWaiters {
		if elected != nil && elected.LogTerm == w.term && w.position <= elected.Position {
			w.term = primary.Term
			w.position = elected.Position + 1
			keptWrites++
			continue
		}
		if w.term == primary.Term {
			continue
		}
		delete(s.commitWaiters, w)
		w.done <- fault.New(fault.OutcomeUnknown, "the primary was replaced before a majority confirmed the write")
	}
	s.phase = serving
	s.primary = primary.Target
	s.term = primary.Term
	s.committed = 0
	s.position = primary.Position
	s.commitStalledSince = time.Time{}
	s.positionHistory.Reset()
	s.observations[primary.Target] = primary
	s.recordPrimaryLocked(primary)
	s.notifyLocked()
	return keptWrites
}

// isCommitStalled reports whether writes wait and none has been confirmed for longer than commitStallTimeout.
func (s *state) isCommitStalled(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position > s.committed && !s.commitStalledSince.IsZero() && now.Sub(s.commitStalledSince) > commitStallTimeout
}

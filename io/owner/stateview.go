package owner

import (
	"time"

	"turmericpulley/core/quorum"
	"turmericpulley/core/types"
)

func (s *state) currentPhase() phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase
}

func (s *state) primaryAndTerm() (types.TargetID, types.Term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.primary, s.term
}

// mayServe reports whether a majority of members is claimed and the previous owner's lease is over or was handed over.
func (s *state) mayServe(now time.Time, handedOver Handover) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.claims) < s.majority {
		return false
	}
	var previousEpoch types.Epoch
	for _, claim := range s.claims {
		previousEpoch = max(previousEpoch, claim.PreviousEpoch)
	}
	return handedOver.valid(now, previousEpoch) || !now.Before(s.serveAfter)
}

// highestKnownEpoch returns the epoch of this ownership or a higher one that a member reported.
func (s *state) highestKnownEpoch() types.Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highestEpoch
}

// recordPromotionRequest counts that a member is asked to become primary. It has to be called before the request is sent, so
// that promotedSince misses no promotion.
func (s *state) recordPromotionRequest(target types.TargetID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.promotions[target]++
}

// promotedSince reports whether a member may have been primary at any time since it was chosen as a replica.
func (s *state) promotedSince(r replica) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.promotions[r.target] != r.promotions
}

// timeSincePrimaryContact returns the time since the owner sent the last call that the current or last primary answered.
func (s *state) timeSincePrimaryContact(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.observations[s.primary]
	if !ok {
		return 0
	}
	return now.Sub(last.SentAt)
}

// newlyDiscardedEntries returns how many log entries the member has discarded since its last observation.
func (s *state) newlyDiscardedEntries(o quorum.Observation) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.observations[o.Target]
	if !ok || o.Discarded <= last.Discarded {
		return 0
	}
	return int64(o.Discarded - last.Discarded)
}

// replica is a member that may answer a read.
type replica struct {
	target  types.TargetID
	applied types.Position
	// promotions is the number of times that the member had been asked to become primary when it was chosen.
	promotions int
}

// eligibleReplicas returns the reachable replicas of the current term that are not leaving and whose data is at most maxAge old;
// none without a valid lease. They may also answer while a primary is being elected: the age computed for their data then only
// increases.
func (s *state) eligibleReplicas(now time.Time, maxAge time.Duration) []replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.primary == "" || !s.leaseValidLocked() {
		return nil
	}
	var found []replica
	for _, o := range s.reachableLocked() {
		if o.Target == s.primary || o.Role != quorum.Replica || o.Term != s.term || o.Leaving {
			continue
		}
		if age, ok := s.positionHistory.Age(o.Applied, now); ok && age <= maxAge {
			found = append(found, replica{target: o.Target, applied: o.Applied, promotions: s.promotions[o.Target]})
		}
	}
	return found
}

// primaryAndPhase returns the primary, its term and the phase.
func (s *state) primaryAndPhase() (types.TargetID, types.Term, phase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.primary, s.term, s.phase
}

// isCurrentPrimary reports whether the target is still the primary of the term.
func (s *state) isCurrentPrimary(target types.TargetID, term types.Term) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase == serving && s.primary == target && s.term == term
}

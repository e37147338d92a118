package place

import "turmericpulley/core/clock"

// chooseMember returns the member for the statement, or nil if the statement has to wait.
//
// A statement that replicas may serve goes to a replica first. The primary takes it only while half of the primary's slots
// stay free. If no replica is expected to have applied the position before the objective, the statement may use any slot of
// the primary, in the order of the waiters.
func (s *Scheduler) chooseMember(r SlotRequest, now clock.Moment) *memberState {
	if r.Pinned != "" {
		if m := s.members[r.Pinned]; m != nil && m.accepts(r) {
			return m
		}
		return nil
	}
	primary := s.activePrimary(now)
	if !r.AllowReplicas {
		if primary != nil && primary.accepts(r) {
			return primary
		}
		return nil
	}
	best, inTime := s.bestReplica(r, now)
	if best != nil {
		return best
	}
	if primary == nil || !primary.accepts(r) {
		return nil
	}
	if inTime && !primary.hasFreeSlotBeyond(primary.slots/2) {
		return nil
	}
	return primary
}

// activePrimary returns the primary's state, or nil while no statements may be sent to it.
func (s *Scheduler) activePrimary(now clock.Moment) *memberState {
	if !s.primaryActive {
		return nil
	}
	primary := s.members[s.primary]
	if primary != nil && primary.usableUntil != 0 && now >= primary.usableUntil {
		return nil
	}
	return primary
}

// bestReplica returns the best replica that can serve the statement now, and whether one has applied the position or will before
// the objective. While other replicas can serve the statement, an outlier gets it only as a trial when all of them are full.
func (s *Scheduler) bestReplica(r SlotRequest, now clock.Moment) (best *memberState, inTime bool) {
	if best, inTime = s.bestReplicaAmong(r, now, false); best != nil {
		return best, true
	}
	outlier, outlierInTime := s.bestReplicaAmong(r, now, true)
	if !inTime {
		return outlier, outlierInTime
	}
	if outlier != nil && outlier.acceptsTrial(r) {
		return outlier, true
	}
	return nil, true
}

// bestReplicaAmong searches either the replicas that are outliers or those that are not.
func (s *Scheduler) bestReplicaAmong(r SlotRequest, now clock.Moment, outliers bool) (best *memberState, inTime bool) {
	for _, m := range s.members {
		if m.target == s.primary || !m.usable || m.health.isOutlier(now) != outliers {
			continue
		}
		applied, at := m.lag.hasApplied(r.MinPosition, &s.history)
		if !applied && at > now {
			inTime = inTime || at < r.Objective
			continue
		}
		inTime = true
		if !m.accepts(r) {
			continue
		}
		if best == nil || s.prefer(m, best, r) {
			best = m
		}
	}
	return best, inTime
}

// prefer reports whether replica a is preferred to replica b: it did not just fail the statement, has fewer statements in flight
// per slot, where an opening of a connection counts as some, or is in the owner's data centre, in this order.
func (s *Scheduler) prefer(a, b *memberState, r SlotRequest) bool {
	if (a.target == r.Avoid) != (b.target == r.Avoid) {
		return b.target == r.Avoid
	}
	if x, y := a.load(r)*b.slots, b.load(r)*a.slots; x != y {
		return x < y
	}
	if a.sameDataCentre != b.sameDataCentre {
		return a.sameDataCentre
	}
	return a.target < b.target
}

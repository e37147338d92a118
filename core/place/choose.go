package place

import "turmericpulley/core/clock"

// chooseMember returns the seat for the need, or nil when it has to wait.
//
// Replicas come first for what they can serve. The primary takes such work only while it keeps half of its slots free,
// unless no replica is going to hold the position before the objective: then all its slots are shared by rank.
func (d *Scheduler) chooseMember(n SlotRequest, now clock.Moment) *memberState {
	if n.Pinned != "" {
		if s := d.members[n.Pinned]; s != nil && s.accepts(n) {
			return s
		}
		return nil
	}
	primary := d.activePrimary()
	if !n.AllowReplicas {
		if primary != nil && primary.accepts(n) {
			return primary
		}
		return nil
	}
	best, soon := d.bestReplica(n, now)
	if best != nil {
		return best
	}
	if primary == nil || !primary.accepts(n) {
		return nil
	}
	if soon && !primary.hasFreeSlotBeyond(primary.slots/2) {
		return nil
	}
	return primary
}

// activePrimary returns the primary's seat while work may go there.
func (d *Scheduler) activePrimary() *memberState {
	if !d.primaryActive {
		return nil
	}
	return d.members[d.primary]
}

// bestReplica returns the best replica that can serve now, and whether one will before the objective. Doubtful ones are used
// only when no other holds the position before the objective.
func (d *Scheduler) bestReplica(n SlotRequest, now clock.Moment) (best *memberState, soon bool) {
	if best, soon = d.bestReplicaAmong(n, now, false); soon {
		return best, true
	}
	return d.bestReplicaAmong(n, now, true)
}

// bestReplicaAmong looks among the replicas that are doubtful, or among those that are not.
func (d *Scheduler) bestReplicaAmong(n SlotRequest, now clock.Moment, doubtful bool) (best *memberState, soon bool) {
	for _, s := range d.members {
		if s.target == d.primary || !s.usable || s.health.isOutlier(now) != doubtful {
			continue
		}
		holds, at := s.lag.hasApplied(n.MinPosition, &d.history)
		if !holds && at > now {
			soon = soon || at < n.Objective
			continue
		}
		soon = true
		if !s.accepts(n) {
			continue
		}
		if best == nil || d.prefer(s, best, n) {
			best = s
		}
	}
	return best, soon
}

// prefer orders two replicas that can both serve: one that did not just fail, the less busy one, the nearer one.
func (d *Scheduler) prefer(a, b *memberState, n SlotRequest) bool {
	if (a.target == n.Avoid) != (b.target == n.Avoid) {
		return b.target == n.Avoid
	}
	if x, y := a.inFlight*b.slots, b.inFlight*a.slots; x != y {
		return x < y
	}
	if a.sameDataCentre != b.sameDataCentre {
		return a.sameDataCentre
	}
	return a.target < b.target
}

package accept

import (
	"slices"
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
)

// IsolationTimeout is the time without an answer after which an instance takes no new work under old contracts. Documents
// may be used for new work for 2 s after they were last confirmed; 1 s is the margin.
const IsolationTimeout = 3 * time.Second

// Progress tracks which instances of one region have a stored change in force; it is not safe for concurrent use.
//
// An instance takes new work only while its contracts were confirmed recently by the store or by a majority of the
// membership. Once a majority has the change in force, every confirmation by a majority includes an instance that has the
// change, because any two majorities have a member in common. Every confirmation by the store includes the change from
// the start. An instance without the change therefore stops taking new work within IsolationTimeout after a majority has
// the change in force. This time has to pass even when every member has the change, because an instance that was just
// removed from the membership, such as a paused one, does not know of its removal yet.
type Progress struct {
	storedAt   time.Time
	membership fleet.Membership
	// incarnations holds the last known incarnation of every instance that is or was a member.
	incarnations map[types.InstanceID]fleet.Incarnation
	// listed holds the instances that the platform lists as live, whether they are members or not.
	listed []types.InstanceID
	// inForce holds the instances that are known to have the change in force.
	inForce map[types.InstanceID]bool
	// lastAnswer is when an instance last answered, or when its present incarnation was first seen.
	lastAnswer map[types.InstanceID]time.Time
	// majorityAt is when a majority was first known to have the change in force; zero while no majority is known to.
	majorityAt time.Time
}

// New returns the progress of a change that was stored at the given time.
func New(stored time.Time) *Progress {
	return &Progress{
		storedAt:     stored,
		incarnations: map[types.InstanceID]fleet.Incarnation{},
		inForce:      map[types.InstanceID]bool{},
		lastAnswer:   map[types.InstanceID]time.Time{},
	}
}

// SetMembership replaces the membership. A new incarnation of an instance counts as having answered now and has nothing in
// force.
func (p *Progress) SetMembership(members fleet.Membership, now time.Time) {
	p.membership = members
	for _, i := range members.Instances {
		if incarnation, known := p.incarnations[i.ID]; !known || incarnation != i.Incarnation {
			p.incarnations[i.ID] = i.Incarnation
			p.lastAnswer[i.ID] = now
			delete(p.inForce, i.ID)
		}
	}
	p.updateMajority(now)
}

// SetListed replaces the instances that the platform lists as live. Listed instances that have never been members count
// towards the size of which a majority is needed. They may be the larger part of the region: while the larger part was cut off
// from the store, the smaller part may have removed it, and its instances may still confirm each other's contracts.
func (p *Progress) SetListed(listed []types.InstanceID, now time.Time) {
	p.listed = listed
	p.updateMajority(now)
}

// RecordAnswer records the answer of an instance, which lists the instances that it knows to have the change in force.
func (p *Progress) RecordAnswer(from types.InstanceID, inForce []types.InstanceID, now time.Time) {
	p.lastAnswer[from] = now
	for _, id := range inForce {
		if _, known := p.incarnations[id]; known {
			p.inForce[id] = true
		}
	}
	p.updateMajority(now)
}

// State returns how far the change has come.
func (p *Progress) State(now time.Time) State {
	s := State{TimeoutElapsed: len(p.incarnations) == 0 || p.timeoutElapsed(p.majorityAt, now)}
	for _, i := range p.membership.Instances {
		switch {
		case p.inForce[i.ID]:
			s.InForce = append(s.InForce, i.ID)
		case i.State != fleet.Live:
		case s.TimeoutElapsed && p.timeoutElapsed(p.lastAnswer[i.ID], now):
			s.Isolated = append(s.Isolated, i.ID)
		default:
			s.Waiting = append(s.Waiting, i.ID)
		}
	}
	s.Removed = p.removed()
	return s
}

// removed returns the instances for State.Removed, sorted.
func (p *Progress) removed() []types.InstanceID {
	var ids []types.InstanceID
	for id := range p.incarnations {
		if _, present := p.membership.Find(id); !present && !p.inForce[id] {
			ids = append(ids, id)
		}
	}
	ids = append(ids, p.listedNonMembers()...)
	slices.Sort(ids)
	return ids
}

// listedNonMembers returns the listed instances that have never been members.
func (p *Progress) listedNonMembers() []types.InstanceID {
	var ids []types.InstanceID
	for _, id := range p.listed {
		if _, known := p.incarnations[id]; !known {
			ids = append(ids, id)
		}
	}
	return ids
}

// timeoutElapsed reports whether IsolationTimeout has passed since the start; false when the start is not known.
func (p *Progress) timeoutElapsed(start, now time.Time) bool {
	return !start.IsZero() && now.Sub(start) >= IsolationTimeout
}

// updateMajority sets majorityAt, to a time not before the change was stored, or clears it.
func (p *Progress) updateMajority(now time.Time) {
	if 2*len(p.inForce) <= len(p.incarnations)+len(p.listedNonMembers()) {
		p.majorityAt = time.Time{}
		return
	}
	if p.majorityAt.IsZero() {
		p.majorityAt = now
	}
	if p.majorityAt.Before(p.storedAt) {
		p.majorityAt = p.storedAt
	}
}

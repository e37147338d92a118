package accept

import (
	"slices"
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
)

// IsolationTimeout is the silence after which an instance takes no new work by old contracts: documents govern for 2 s
// after they were last confirmed, and 1 s is the margin.
const IsolationTimeout = 3 * time.Second

// Progress follows one stored change through the instances of one region.
//
// An instance takes new work only while the store, or instances that together are a majority of the membership, lately
// confirmed its contracts. Once a majority has the change in force, every confirmation by a majority includes an
// instance that has it, because two majorities have a member in common. Every confirmation by the store includes it
// from the start. An instance without the change therefore stops within the freshness bound after that. The bound is
// waited out even when every member has the change, because an instance that was removed from the membership a moment
// ago, such as a paused one, does not know of its removal yet.
type Progress struct {
	storedAt   time.Time
	membership fleet.Membership
	// incarnations holds the incarnation of every instance that was a member at some time.
	incarnations map[types.InstanceID]fleet.Incarnation
	// listed holds the instances that the platform lists as live, members or not.
	listed     []types.InstanceID
	inForce    map[types.InstanceID]bool
	lastAnswer map[types.InstanceID]time.Time
	// majorityAt is when a majority was first known to have the change in force; zero before that.
	majorityAt time.Time
}

// New returns the progress of a change that was stored at the time.
func New(stored time.Time) *Progress {
	return &Progress{
		storedAt:     stored,
		incarnations: map[types.InstanceID]fleet.Incarnation{},
		inForce:      map[types.InstanceID]bool{},
		lastAnswer:   map[types.InstanceID]time.Time{},
	}
}

// SetMembership takes the present membership; a new incarnation counts as heard and has nothing in force.
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

// SetListed takes the instances that the platform lists as live. Those that are no members count for the majority: a larger
// part of the region, cut off from the store, may have been removed by a smaller one and still confirm each other.
func (p *Progress) SetListed(listed []types.InstanceID, now time.Time) {
	p.listed = listed
	p.updateMajority(now)
}

// RecordAnswer records the answer of an instance, which names the instances that have the change in force.
func (p *Progress) RecordAnswer(by types.InstanceID, inForce []types.InstanceID, now time.Time) {
	p.lastAnswer[by] = now
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

func (p *Progress) timeoutElapsed(at, now time.Time) bool {
	return !at.IsZero() && now.Sub(at) >= IsolationTimeout
}

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

package accept

import (
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
)

// IsolationBound is the silence after which an instance takes no new work by old contracts: documents govern for 2 s
// after they were last confirmed, and 1 s is the margin.
const IsolationBound = 3 * time.Second

// Progress follows one stored change through the instances of one region.
//
// An instance takes new work only while the store, or instances that together are a majority of the membership, lately
// confirmed its contracts. Once a majority has the change in force, every confirmation by a majority includes an
// instance that has it, because two majorities have a member in common. Every confirmation by the store includes it
// from the start. An instance without the change therefore stops within the freshness bound after that.
type Progress struct {
	stored  time.Time
	members fleet.Membership
	inForce map[types.InstanceID]fleet.Incarnation
	heard   map[types.InstanceID]time.Time
	// majority is when a majority was first known to have the change in force; zero before that.
	majority time.Time
}

// New returns the progress of a change that was stored at the time.
func New(stored time.Time) *Progress {
	return &Progress{
		stored:  stored,
		inForce: map[types.InstanceID]fleet.Incarnation{},
		heard:   map[types.InstanceID]time.Time{},
	}
}

// Follow takes the present membership; a new incarnation counts as heard and has nothing in force.
func (p *Progress) Follow(members fleet.Membership, now time.Time) {
	for _, i := range members.Instances {
		if before, found := p.members.Find(i.ID); !found || before.Incarnation != i.Incarnation {
			p.heard[i.ID] = now
		}
	}
	for id, incarnation := range p.inForce {
		if i, found := members.Find(id); !found || i.Incarnation != incarnation {
			delete(p.inForce, id)
		}
	}
	p.members = members
	p.update(now)
}

// Answered records the answer of an instance, which names the instances that have the change in force.
func (p *Progress) Answered(by types.InstanceID, inForce []types.InstanceID, now time.Time) {
	p.heard[by] = now
	for _, id := range inForce {
		if i, found := p.members.Find(id); found {
			p.inForce[id] = i.Incarnation
		}
	}
	p.update(now)
}

// State returns how far the change has come.
func (p *Progress) State(now time.Time) State {
	s := State{}
	for _, i := range p.members.Instances {
		switch {
		case p.holds(i.ID):
			s.InForce = append(s.InForce, i.ID)
		case i.State != fleet.Live:
		case p.isolated(i.ID, now):
			s.Isolated = append(s.Isolated, i.ID)
		default:
			s.Waiting = append(s.Waiting, i.ID)
		}
	}
	return s
}

func (p *Progress) holds(id types.InstanceID) bool {
	_, held := p.inForce[id]
	return held
}

// isolated reports whether the instance has been silent for so long that it has stopped taking work by old contracts.
func (p *Progress) isolated(id types.InstanceID, now time.Time) bool {
	if p.majority.IsZero() {
		return false
	}
	return now.Sub(p.majority) >= IsolationBound && now.Sub(p.heard[id]) >= IsolationBound
}

func (p *Progress) update(now time.Time) {
	if 2*len(p.inForce) <= len(p.members.Instances) {
		p.majority = time.Time{}
		return
	}
	if p.majority.IsZero() {
		p.majority = now
	}
	if p.majority.Before(p.stored) {
		p.majority = p.stored
	}
}

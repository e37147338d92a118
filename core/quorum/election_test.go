package quorum_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"turmericpulley/core/quorum"
	"turmericpulley/core/types"
)

const (
	modelMembers  = 3
	modelMajority = 2
)

// modelEntry is a log entry. Each write has a unique id; the first entry of a term has the id 0.
type modelEntry struct {
	term types.Term
	id   int
}

// modelMember is a member that follows the replication protocol.
type modelMember struct {
	term    types.Term
	fenced  types.Term
	primary bool
	log     []modelEntry
}

func (m *modelMember) status(i int) quorum.Status {
	s := quorum.Status{
		Target: types.TargetID(fmt.Sprint(i)), Term: m.term, FencedTerm: m.fenced, Position: types.Position(len(m.log)),
	}
	if len(m.log) > 0 {
		s.LogTerm = m.log[len(m.log)-1].term
	}
	return s
}

// model is three members and owners that may promote a member through any majority at any time. Its exported methods are the
// actions that the test runs in random order.
type model struct {
	members      [modelMembers]modelMember
	acknowledged []modelEntry
	winners      map[types.Term]types.TargetID
	nextID       int
}

func drawMember(t *rapid.T) int { return rapid.IntRange(0, modelMembers-1).Draw(t, "member") }

// Write appends an entry at a member that considers itself the primary, even if it has been replaced.
func (m *model) Write(t *rapid.T) {
	p := &m.members[drawMember(t)]
	if p.primary && p.fenced <= p.term {
		m.nextID++
		p.log = append(p.log, modelEntry{term: p.term, id: m.nextID})
	}
}

// Replicate copies a prefix of a primary's log to a member that then follows its term, and removes what differs there.
func (m *model) Replicate(t *rapid.T) {
	p, r := &m.members[drawMember(t)], &m.members[drawMember(t)]
	if p == r || !p.primary || p.fenced > p.term || r.fenced > p.term || r.term > p.term {
		return
	}
	r.primary = false
	r.term = p.term
	received := rapid.IntRange(0, len(p.log)).Draw(t, "received")
	matching := 0
	for matching < len(r.log) && matching < len(p.log) && r.log[matching] == p.log[matching] {
		matching++
	}
	r.log = slices.Clone(p.log[:max(matching, received)])
}

// Acknowledge acknowledges, as the owner of a primary does, the entries that a majority of members following its term holds.
func (m *model) Acknowledge(t *rapid.T) {
	p := &m.members[drawMember(t)]
	if !p.primary || p.fenced > p.term {
		return
	}
	for position, e := range p.log {
		holders := 0
		current := false
		for i := range m.members {
			o := &m.members[i]
			if o.term == p.term && o.fenced <= p.term && len(o.log) > position && o.log[position] == e {
				holders++
				current = current || (o == p && p.log[len(p.log)-1].term == p.term)
			}
		}
		if holders >= modelMajority && current && m.isOwnTermHeld(p, position) && e.id != 0 {
			m.acknowledged = append(m.acknowledged, e)
		}
	}
}

// isOwnTermHeld reports whether a majority holds an entry of the primary's own term at or after the position.
func (m *model) isOwnTermHeld(p *modelMember, position int) bool {
	for at := position; at < len(p.log); at++ {
		holders := 0
		for i := range m.members {
			o := &m.members[i]
			if o.term == p.term && o.fenced <= p.term && len(o.log) > at && o.log[at] == p.log[at] {
				holders++
			}
		}
		if holders >= modelMajority && p.log[at].term == p.term {
			return true
		}
	}
	return false
}

// Promote fences some members to a term above all terms that they report, and promotes the one that Elect returns.
func (m *model) Promote(t *rapid.T) {
	voters := rapid.SliceOfNDistinct(rapid.IntRange(0, modelMembers-1), 1, modelMembers, rapid.ID[int]).Draw(t, "voters")
	statuses := make([]quorum.Status, 0, len(voters))
	for _, i := range voters {
		statuses = append(statuses, m.members[i].status(i))
	}
	term := quorum.NextTerm(statuses)
	fenced := make([]quorum.Status, 0, len(voters))
	for _, i := range voters {
		m.members[i].fenced = term
		m.members[i].primary = false
		fenced = append(fenced, m.members[i].status(i))
	}
	winner, ok := quorum.Elect(fenced, term, modelMajority)
	if !ok {
		return
	}
	require.NotContains(t, m.winners, term, "one term has two primaries")
	m.winners[term] = winner
	for i := range m.members {
		if types.TargetID(fmt.Sprint(i)) != winner {
			continue
		}
		w := &m.members[i]
		w.primary, w.term = true, term
		w.log = append(w.log, modelEntry{term: term})
		for _, e := range m.acknowledged {
			require.Contains(t, w.log, e, "an acknowledged write is lost")
		}
	}
}

// Check is required by rapid; all checks are in Promote.
func (m *model) Check(*rapid.T) {}

// TestElectedMemberHoldsAllAcknowledgedWrites runs random actions on the model. No promotion may lose an acknowledged write,
// and no term may have two primaries.
func TestElectedMemberHoldsAllAcknowledgedWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{winners: map[types.Term]types.TargetID{1: "0"}}
		for i := range m.members {
			m.members[i].term = 1
		}
		m.members[0].primary = true
		t.Repeat(rapid.StateMachineActions(m))
	})
}

func TestElectPrefersNewestTermThenLongestLogThenStayingMember(t *testing.T) {
	fenced := func(target types.TargetID, logTerm types.Term, position types.Position, leaving bool) quorum.Status {
		return quorum.Status{Target: target, FencedTerm: 5, LogTerm: logTerm, Position: position, Leaving: leaving}
	}
	for name, c := range map[string]struct {
		fenced []quorum.Status
		winner types.TargetID
		ok     bool
	}{
		"no majority":            {fenced: []quorum.Status{fenced("a", 4, 9, false)}},
		"longest log":            {[]quorum.Status{fenced("a", 4, 8, false), fenced("b", 4, 9, false)}, "b", true},
		"newest term first":      {[]quorum.Status{fenced("a", 4, 8, false), fenced("b", 3, 9, false)}, "a", true},
		"staying before leaving": {[]quorum.Status{fenced("a", 4, 8, true), fenced("b", 4, 8, false)}, "b", true},
		"other term not counted": {fenced: []quorum.Status{fenced("a", 4, 8, false), {Target: "b", FencedTerm: 6}}},
	} {
		t.Run(name, func(t *testing.T) {
			winner, ok := quorum.Elect(c.fenced, 5, 2)
			require.Equal(t, c.ok, ok)
			require.Equal(t, c.winner, winner)
		})
	}
}

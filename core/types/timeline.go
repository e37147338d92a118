package types

import (
	"cmp"
	"slices"
	"strings"
)

// maxTimelineTerms is the number of terms that a timeline keeps; a log that is older than so many promotions counts as unknown.
const maxTimelineTerms = 16

// TermStart says up to which position the logs of earlier terms belong to the history of a term.
type TermStart struct {
	Term Term `json:"term"`
	// Start is where the log of the member that was promoted to the term ended; zero when that is not known.
	Start Position `json:"start,omitempty"`
}

// Timeline lists the terms of the history in force, the oldest first. A term whose commits a later promotion dropped as a whole is not in
// it.
//
// Positions order the logs of one history only. A log whose last entry is of an earlier term belongs to the history up to where the next
// term began: what it holds beyond that was dropped by a promotion.
type Timeline []TermStart

// Last returns the newest term; zero when none is known.
func (t Timeline) Last() Term {
	if len(t) == 0 {
		return 0
	}
	return t[len(t)-1].Term
}

// With returns the timeline after the promotion to the term of a member whose log ended at the given position; zero means that it is not
// known.
func (t Timeline) With(term Term, end LogPosition) Timeline {
	if end.IsZero() {
		return append(t.before(term), TermStart{Term: term}).trim()
	}
	next := t.before(end.Term + 1)
	if next.Last() != end.Term {
		next = append(next, TermStart{Term: end.Term})
	}
	return append(next, TermStart{Term: term, Start: end.Number}).trim()
}

// UpTo returns the timeline that ends with the term, whose start stays unknown if the timeline does not list it.
func (t Timeline) UpTo(term Term) Timeline {
	next := t.before(term + 1)
	if next.Last() != term {
		return t.With(term, LogPosition{})
	}
	return next
}

// Shared returns how much of the log that ends at the position is in the history in force; false when that is not known.
func (t Timeline) Shared(end LogPosition) (Position, bool) {
	if end.Number == 0 || end.Term > t.Last() {
		return end.Number, true
	}
	i := slices.IndexFunc(t, func(s TermStart) bool { return s.Term == end.Term })
	if i < 0 {
		return 0, false
	}
	shared := end.Number
	for _, later := range t[i+1:] {
		if later.Start == 0 {
			return 0, false
		}
		shared = min(shared, later.Start)
	}
	return shared, true
}

// Doubtful returns the number of entries of the log that ends at the position which are not known to be in the history in force.
func (t Timeline) Doubtful(end LogPosition) Position {
	shared, _ := t.Shared(end)
	return end.Number - shared
}

// Compare orders logs by how much of the history in force they hold; it returns -1, 0 or 1. Empty logs come first, then
// those of which it is not known, in the order of their positions.
func (t Timeline) Compare(a, b LogPosition) int {
	sharedA, knownA := t.Shared(a)
	sharedB, knownB := t.Shared(b)
	switch {
	case a.Number == 0 || b.Number == 0:
		return cmp.Compare(a.Number, b.Number)
	case knownA && knownB:
		return cmp.Compare(sharedA, sharedB)
	case knownA:
		return 1
	case knownB:
		return -1
	default:
		return a.Compare(b)
	}
}

// String returns each term with its start, separated by blanks.
func (t Timeline) String() string {
	parts := make([]string, 0, len(t))
	for _, s := range t {
		parts = append(parts, s.Term.String()+"@"+s.Start.String())
	}
	return strings.Join(parts, " ")
}

// before returns a copy of the part of the timeline that precedes the term.
func (t Timeline) before(term Term) Timeline {
	i := slices.IndexFunc(t, func(s TermStart) bool { return s.Term >= term })
	if i < 0 {
		i = len(t)
	}
	return slices.Clone(t[:i])
}

// trim drops the oldest terms beyond maxTimelineTerms. What came before the oldest one that stays is unknown from then on.
func (t Timeline) trim() Timeline {
	if len(t) <= maxTimelineTerms {
		return t
	}
	t = t[len(t)-maxTimelineTerms:]
	t[0].Start = 0
	return t
}

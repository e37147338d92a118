package quorum

import (
	"cmp"
	"slices"

	"turmericpulley/core/types"
)

// NextTerm returns a term above every term that the members report.
func NextTerm(statuses []Status) types.Term {
	var highest types.Term
	for _, s := range statuses {
		highest = max(highest, s.Term, s.FencedTerm, s.LogTerm)
	}
	return highest + 1
}

// Elect returns the member to promote among the members that are fenced to the term; false when there are fewer of them than
// the majority.
//
// Each acknowledged write is in the log of a majority. Within any majority, the longest of the logs with the highest term
// therefore holds every acknowledged write. Among equal logs, members that are about to leave come last, and the lowest id
// comes first.
func Elect(fenced []Status, term types.Term, majority int) (types.TargetID, bool) {
	candidates := slices.DeleteFunc(slices.Clone(fenced), func(s Status) bool { return s.FencedTerm != term })
	if majority < 1 || len(candidates) < majority {
		return "", false
	}
	slices.SortFunc(candidates, compareForElection)
	return candidates[0].Target, true
}

// compareForElection puts the better candidate first.
func compareForElection(a, b Status) int {
	return cmp.Or(
		cmp.Compare(b.LogTerm, a.LogTerm),
		cmp.Compare(b.Position, a.Position),
		compareBool(a.Leaving, b.Leaving),
		cmp.Compare(a.Target, b.Target),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// CurrentPrimary returns the primary of the highest term among the observations; false when there is none or when a member
// reports or was fenced to a higher term.
func CurrentPrimary(observations []Observation) (Observation, bool) {
	var best Observation
	found := false
	var highest types.Term
	for _, o := range observations {
		highest = max(highest, o.FencedTerm, o.Term)
		if o.Role == Primary && (!found || o.Term > best.Term) {
			best = o
			found = true
		}
	}
	return best, found && best.Term >= highest
}

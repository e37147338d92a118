package quorum

import (
	"cmp"
	"slices"

	"turmericpulley/core/types"
)

// NextTerm returns a term above every term that the members know.
func NextTerm(statuses []Status) types.Term {
	var highest types.Term
	for _, s := range statuses {
		highest = max(highest, s.Term, s.FencedTerm, s.LogTerm)
	}
	return highest + 1
}

// Elect returns the member to promote among members fenced to one term, best first; false without a majority of them.
//
// The longest log of the highest term among any majority holds every acknowledged write, because each acknowledged
// write is in the log of a majority. Equal logs are told apart by whether the member is about to leave, then by id.
func Elect(fenced []Status, term types.Term, majority int) (types.TargetID, bool) {
	candidates := slices.DeleteFunc(slices.Clone(fenced), func(s Status) bool { return s.FencedTerm != term })
	if majority < 1 || len(candidates) < majority {
		return "", false
	}
	slices.SortFunc(candidates, compareForElection)
	return candidates[0].Target, true
}

func compareForElection(a, b Status) int {
	return cmp.Or(
		cmp.Compare(b.LogTerm, a.LogTerm),
		cmp.Compare(b.Position, a.Position),
		compareBool(a.Leaving, b.Leaving),
		cmp.Compare(a.Target, b.Target),
	)
}

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

// CurrentPrimary returns the primary of the highest term among the observations; false when a member was fenced to a
// higher term or when there is none.
func CurrentPrimary(observations []Observation) (Observation, bool) {
	var best Observation
	found := false
	var fenced types.Term
	for _, o := range observations {
		fenced = max(fenced, o.FencedTerm, o.Term)
		if o.Role == Primary && (!found || o.Term > best.Term) {
			best = o
			found = true
		}
	}
	return best, found && best.Term >= fenced
}

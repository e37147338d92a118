package audit

import (
	"cmp"
	"fmt"
	"slices"

	"turmericpulley/core/types"
)

// sessionRow identifies the operations of one session on one row.
type sessionRow struct {
	session types.SessionName
	row     Row
}

// checkSessions reports reads that returned less than their session had written to or read from the same row before.
func checkSessions(operations []Operation, initial State) []Finding {
	groups := map[sessionRow][]Operation{}
	var order []sessionRow
	for _, o := range operations {
		if o.Outcome != Acknowledged {
			continue
		}
		sr := sessionRow{session: o.Session, row: o.Row}
		if _, found := groups[sr]; !found {
			order = append(order, sr)
		}
		groups[sr] = append(groups[sr], o)
	}
	var findings []Finding
	for _, sr := range order {
		if stale := countStaleReads(groups[sr], initial.Values[sr.row]); stale > 0 {
			findings = append(findings, Finding{
				Violation: StaleRead, Row: sr.row, Session: sr.session, Count: stale,
				Detail: fmt.Sprintf("%d reads returned less than the session had written or read before", stale),
			})
		}
	}
	return findings
}

// countStaleReads counts the reads that returned less than the session's minimum at the read's start; all operations
// belong to one session and row.
func countStaleReads(operations []Operation, start Value) int {
	returned := slices.Clone(operations)
	slices.SortStableFunc(returned, func(a, b Operation) int { return cmp.Compare(a.Returned, b.Returned) })
	sortByInvoked(operations)
	minimum := newSessionMinimum(start)
	next, stale := 0, 0
	for _, o := range operations {
		for next < len(returned) && returned[next].Returned < o.Invoked {
			minimum.observe(returned[next])
			next++
		}
		if o.Kind == Read && o.Value < minimum.value() {
			stale++
		}
	}
	return stale
}

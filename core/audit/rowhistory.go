package audit

import (
	"cmp"
	"slices"
)

// rowHistory holds the operations of a history on one row, ordered by start.
type rowHistory struct {
	row        Row
	operations []Operation
}

// splitByRow splits a history into the histories of its rows, ordered by database and key.
func splitByRow(operations []Operation) []rowHistory {
	index := map[Row]int{}
	var histories []rowHistory
	for _, o := range operations {
		i, found := index[o.Row]
		if !found {
			i = len(histories)
			index[o.Row] = i
			histories = append(histories, rowHistory{row: o.Row})
		}
		histories[i].operations = append(histories[i].operations, o)
	}
	for _, h := range histories {
		sortByInvoked(h.operations)
	}
	slices.SortFunc(histories, func(a, b rowHistory) int {
		return cmp.Or(cmp.Compare(a.row.Database, b.row.Database), cmp.Compare(a.row.Key, b.row.Key))
	})
	return histories
}

// ofKind returns the operations of one kind.
func (h rowHistory) ofKind(kind Kind) []Operation {
	var found []Operation
	for _, o := range h.operations {
		if o.Kind == kind {
			found = append(found, o)
		}
	}
	return found
}

// newFinding returns a finding about the row, with the session of the row's first operation.
func (h rowHistory) newFinding(violation Violation, count int, detail string) Finding {
	return Finding{Violation: violation, Row: h.row, Session: h.operations[0].Session, Count: count, Detail: detail}
}

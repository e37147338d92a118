package fakedb

import "turmericpulley/core/types"

// replicatedLog is the member's log; entry N is at index N-1.
type replicatedLog struct {
	entries []entry
}

// termRange is a stretch of the log with one term.
type termRange struct {
	Term types.Term     `json:"term"`
	Last types.Position `json:"last"`
}

func (l *replicatedLog) last() types.Position { return types.Position(len(l.entries)) }

// termAt returns the term of an entry, 0 when there is none.
func (l *replicatedLog) termAt(p types.Position) types.Term {
	if p == 0 || p > l.last() {
		return 0
	}
	return l.entries[p-1].Term
}

func (l *replicatedLog) append(e entry) { l.entries = append(l.entries, e) }

// truncate drops the entries after a position; the capacity goes too, since others may still read the old array.
func (l *replicatedLog) truncate(p types.Position) {
	l.entries = l.entries[:p:p]
}

// after returns at most limit entries that follow a position.
func (l *replicatedLog) after(p types.Position, limit int) []entry {
	if p >= l.last() {
		return nil
	}
	found := l.entries[p:]
	if len(found) > limit {
		found = found[:limit]
	}
	return found
}

// termRanges describes the log by the last position of each term.
func (l *replicatedLog) termRanges() []termRange {
	var list []termRange
	for i := range l.entries {
		e := &l.entries[i]
		if n := len(list); n > 0 && list[n-1].Term == e.Term {
			list[n-1].Last = e.Position
			continue
		}
		list = append(list, termRange{Term: e.Term, Last: e.Position})
	}
	return list
}

// match returns the last position at which this log and the described one have the same term; up to it they are equal.
func (l *replicatedLog) match(runs []termRange) types.Position {
	for i := len(runs) - 1; i >= 0; i-- {
		first := types.Position(1)
		if i > 0 {
			first = runs[i-1].Last + 1
		}
		for p := min(runs[i].Last, l.last()); p >= first; p-- {
			if l.termAt(p) == runs[i].Term {
				return p
			}
		}
	}
	return 0
}

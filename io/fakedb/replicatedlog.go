package fakedb

import "turmericpulley/core/types"

// replicatedLog is the member's log. The entry at position N has the index N-1.
type replicatedLog struct {
	entries []entry
}

// termRange is a range of successive entries with the same term; Last is the position of the last of them.
type termRange struct {
	Term types.Term     `json:"term"`
	Last types.Position `json:"last"`
}

func (l *replicatedLog) lastPosition() types.Position { return types.Position(len(l.entries)) }

// termAt returns the term of the entry at a position, 0 when there is none.
func (l *replicatedLog) termAt(p types.Position) types.Term {
	if p == 0 || p > l.lastPosition() {
		return 0
	}
	return l.entries[p-1].Term
}

func (l *replicatedLog) append(e entry) { l.entries = append(l.entries, e) }

// truncate removes the entries after a position. It cuts the capacity too, so that the next append allocates a new array:
// a log sender may still read the old one.
func (l *replicatedLog) truncate(p types.Position) {
	l.entries = l.entries[:p:p]
}

// entriesAfter returns at most limit entries that follow a position.
func (l *replicatedLog) entriesAfter(p types.Position, limit int) []entry {
	if p >= l.lastPosition() {
		return nil
	}
	entries := l.entries[p:]
	if len(entries) > limit {
		entries = entries[:limit]
	}
	return entries
}

// termRanges returns the log's ranges of entries with the same term, in order.
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

// match returns the last position at which this log and the described one have the same term, 0 when there is none. Up to
// it the logs are equal.
func (l *replicatedLog) match(ranges []termRange) types.Position {
	for i := len(ranges) - 1; i >= 0; i-- {
		first := types.Position(1)
		if i > 0 {
			first = ranges[i-1].Last + 1
		}
		for p := min(ranges[i].Last, l.lastPosition()); p >= first; p-- {
			if l.termAt(p) == ranges[i].Term {
				return p
			}
		}
	}
	return 0
}

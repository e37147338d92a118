package relay

import "turmericpulley/core/types"

// entryList holds entries sorted by revision.
type entryList struct {
	entries []Entry
	// truncated is true when the entries of the highest revisions were left out.
	truncated bool
}

// truncate limits the list to maxBytes of keys and values, but keeps at least one entry. It also returns the bytes left, which
// are negative when that entry alone exceeds the limit.
func (l entryList) truncate(maxBytes int) (entryList, int) {
	for index, e := range l.entries {
		size := len(e.Key) + len(e.Value)
		if index > 0 && size > maxBytes {
			return entryList{l.entries[:index], true}, 0
		}
		maxBytes -= size
	}
	return l, maxBytes
}

// knownUpTo returns the revision up to which a receiver that knew everything up to base knows everything once it has the list.
func (l entryList) knownUpTo(base, known types.Revision) types.Revision {
	if l.truncated {
		return min(l.entries[len(l.entries)-1].Revision, known)
	}
	return max(base, known)
}

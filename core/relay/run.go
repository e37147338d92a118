package relay

import "turmericpulley/core/types"

// entryList is a sequence of entries in the order of their revisions.
type entryList struct {
	entries []Entry
	// truncated is true when later entries were left out.
	truncated bool
}

// truncate cuts the run to the room given, keeping at least one entry, and returns the room left.
func (r entryList) truncate(room int) (entryList, int) {
	for index, e := range r.entries {
		size := len(e.Key) + len(e.Value)
		if index > 0 && size > room {
			return entryList{r.entries[:index], true}, 0
		}
		room -= size
	}
	return r, room
}

// knownUpTo returns the revision up to which a reader knows everything after the run.
func (r entryList) knownUpTo(base, known types.Revision) types.Revision {
	if r.truncated {
		return min(r.entries[len(r.entries)-1].Revision, known)
	}
	return max(base, known)
}

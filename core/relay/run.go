package relay

import "turmericpulley/core/types"

// run is a sequence of entries in the order of their revisions.
type run struct {
	entries []Entry
	// cut is true when later entries were left out.
	cut bool
}

// limit cuts the run to the room given, keeping at least one entry, and returns the room left.
func (r run) limit(room int) (run, int) {
	for index, e := range r.entries {
		size := len(e.Key) + len(e.Value)
		if index > 0 && size > room {
			return run{r.entries[:index], true}, 0
		}
		room -= size
	}
	return r, room
}

// through returns the revision up to which a reader knows everything after the run.
func (r run) through(base, known types.Revision) types.Revision {
	if r.cut {
		return min(r.entries[len(r.entries)-1].Revision, known)
	}
	return max(base, known)
}

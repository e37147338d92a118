package relay

// Batch holds every document that changed after the revisions Base, up to and including the revisions Through.
type Batch struct {
	Base    Revisions
	Through Revisions
	Entries []Entry
}

// Bytes returns the total size of the keys and values in bytes.
func (b Batch) Bytes() int {
	size := 0
	for _, e := range b.Entries {
		size += len(e.Key) + len(e.Value)
	}
	return size
}

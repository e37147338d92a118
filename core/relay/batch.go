package relay

// Batch carries every document that changed after Base up to Through.
type Batch struct {
	Base    Revisions
	Through Revisions
	Entries []Entry
}

// Bytes returns the size of the keys and values.
func (b Batch) Bytes() int {
	size := 0
	for _, e := range b.Entries {
		size += len(e.Key) + len(e.Value)
	}
	return size
}

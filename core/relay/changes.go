package relay

import (
	"cmp"
	"slices"
)

// maxBatchBytes bounds the keys and values of a batch. The first document of each kind is included whatever its size, so that
// a document larger than the bound can be sent.
const maxBatchBytes = 1 << 20

// Since returns the documents that changed after the base revisions, limited to about maxBatchBytes. A call with Through of
// the returned batch as the next base continues where the batch ends.
func (c *Cache) Since(base Revisions) Batch {
	batch := Batch{Base: base, Through: base}
	known := c.Revisions()
	contracts, remaining := c.changedEntries(contractKind, base, known, maxBatchBytes)
	batch.Entries = contracts.entries
	batch.Through.Contracts = contracts.knownUpTo(base.Contracts, known.Contracts)
	if contracts.truncated {
		return batch
	}
	groups, _ := c.changedEntries(groupKind, base, known, remaining)
	batch.Entries = append(batch.Entries, groups.entries...)
	batch.Through.Groups = groups.knownUpTo(base.Groups, known.Groups)
	return batch
}

// changedEntries returns the entries of one kind that changed after base, sorted by revision and limited to maxBytes. It also
// returns how many bytes of the limit are left.
func (c *Cache) changedEntries(kind documentKind, base, known Revisions, maxBytes int) (entryList, int) {
	after, until := base.Contracts, known.Contracts
	if kind == groupKind {
		after, until = base.Groups, known.Groups
	}
	if after >= until {
		return entryList{}, maxBytes
	}
	found := entryList{}
	c.documents.Range(func(_, value any) bool {
		e := value.(*document).entry
		if kindOf(e.Key) == kind && e.Revision > after {
			found.entries = append(found.entries, e)
		}
		return true
	})
	slices.SortFunc(found.entries, func(x, y Entry) int { return cmp.Compare(x.Revision, y.Revision) })
	return found.truncate(maxBytes)
}

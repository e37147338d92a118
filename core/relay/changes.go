package relay

import (
	"cmp"
	"slices"
)

// maxBatchBytes bounds the keys and values of a batch, but for a single larger document.
const maxBatchBytes = 1 << 20

// Since returns documents that changed after the revisions, at most about a megabyte; asking again from Through of the
// batch gives the rest.
func (b *Cache) Since(base Revisions) Batch {
	batch := Batch{Base: base, Through: base}
	known := b.Revisions()
	contracts, rest := b.changedEntries(contractKind, base, known, maxBatchBytes)
	batch.Entries = contracts.entries
	batch.Through.Contracts = contracts.knownUpTo(base.Contracts, known.Contracts)
	if contracts.truncated {
		return batch
	}
	groups, _ := b.changedEntries(groupKind, base, known, rest)
	batch.Entries = append(batch.Entries, groups.entries...)
	batch.Through.Groups = groups.knownUpTo(base.Groups, known.Groups)
	return batch
}

// changedEntries returns entries of one source in the order of their revisions and the bytes left.
func (b *Cache) changedEntries(wanted documentKind, base, known Revisions, room int) (entryList, int) {
	after, until := base.Contracts, known.Contracts
	if wanted == groupKind {
		after, until = base.Groups, known.Groups
	}
	if after >= until {
		return entryList{}, room
	}
	found := entryList{}
	b.documents.Range(func(_, value any) bool {
		e := value.(*document).entry
		if kindOf(e.Key) == wanted && e.Revision > after {
			found.entries = append(found.entries, e)
		}
		return true
	})
	slices.SortFunc(found.entries, func(x, y Entry) int { return cmp.Compare(x.Revision, y.Revision) })
	return found.truncate(room)
}

package relay

import (
	"cmp"
	"slices"
)

// maxBatchBytes bounds the keys and values of a batch, but for a single larger document.
const maxBatchBytes = 1 << 20

// Since returns documents that changed after the revisions, at most about a megabyte; asking again from Through of the
// batch gives the rest.
func (b *Book) Since(base Revisions) Batch {
	batch := Batch{Base: base, Through: base}
	known := b.Revisions()
	contracts, rest := b.changed(contractSource, base, known, maxBatchBytes)
	batch.Entries = contracts.entries
	batch.Through.Contracts = contracts.through(base.Contracts, known.Contracts)
	if contracts.cut {
		return batch
	}
	groups, _ := b.changed(groupSource, base, known, rest)
	batch.Entries = append(batch.Entries, groups.entries...)
	batch.Through.Groups = groups.through(base.Groups, known.Groups)
	return batch
}

// changed returns entries of one source in the order of their revisions and the bytes left.
func (b *Book) changed(wanted source, base, known Revisions, room int) (run, int) {
	after, until := base.Contracts, known.Contracts
	if wanted == groupSource {
		after, until = base.Groups, known.Groups
	}
	if after >= until {
		return run{}, room
	}
	found := run{}
	b.documents.Range(func(_, value any) bool {
		e := value.(*document).entry
		if sourceOf(e.Key) == wanted && e.Revision > after {
			found.entries = append(found.entries, e)
		}
		return true
	})
	slices.SortFunc(found.entries, func(x, y Entry) int { return cmp.Compare(x.Revision, y.Revision) })
	return found.limit(room)
}

package types

import "strconv"

// Term numbers the primaries of a database; each new primary has a higher one.
type Term uint64

// Position is a position in the log of a database.
type Position uint64

// Epoch orders the owners of a database; each new owner has a higher one. Package quorum composes it from several parts, and
// members obey only the owner with the highest epoch that has claimed them. In package hold it is a revision of the store.
type Epoch uint64

// Revision orders the versions of a value in the platform's store. Its upper bits hold the era of the store: a store that is restored
// from an older copy gives the numbers of its revisions out again, but each revision of a later era is above all earlier ones.
type Revision uint64

// Era counts how often a store has been restored from an older copy.
type Era uint64

// revisionNumberBits is the size of the number in a Revision. A store that makes a thousand changes a second uses these numbers up in 34
// years.
const revisionNumberBits = 40

// NewRevision returns the revision with the number that the store gave it in the era.
func NewRevision(era Era, number uint64) Revision {
	return Revision(uint64(era)<<revisionNumberBits | number)
}

// Era returns the era of the store to which the revision belongs.
func (r Revision) Era() Era { return Era(r >> revisionNumberBits) }

// Number returns the number that the store gave the revision within its era.
func (r Revision) Number() uint64 { return uint64(r) & (1<<revisionNumberBits - 1) }

// String returns the term in decimal.
func (t Term) String() string { return strconv.FormatUint(uint64(t), 10) }

// String returns the position in decimal.
func (p Position) String() string { return strconv.FormatUint(uint64(p), 10) }

// String returns the epoch in decimal.
func (e Epoch) String() string { return strconv.FormatUint(uint64(e), 10) }

// String returns the revision in decimal.
func (r Revision) String() string { return strconv.FormatUint(uint64(r), 10) }

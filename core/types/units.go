package types

import "strconv"

// Term numbers the primaries of a database; each new primary has a higher one.
type Term uint64

// Position is a position in the log of a database.
type Position uint64

// Epoch orders the owners of a database; each new owner has a higher one. Package quorum composes it from several parts, and
// members obey only the owner with the highest epoch that has claimed them. In package hold it is a revision of the store.
type Epoch uint64

// Revision orders the versions of a value in the platform's store.
type Revision uint64

// String returns the term in decimal.
func (t Term) String() string { return strconv.FormatUint(uint64(t), 10) }

// String returns the position in decimal.
func (p Position) String() string { return strconv.FormatUint(uint64(p), 10) }

// String returns the epoch in decimal.
func (e Epoch) String() string { return strconv.FormatUint(uint64(e), 10) }

// String returns the revision in decimal.
func (r Revision) String() string { return strconv.FormatUint(uint64(r), 10) }

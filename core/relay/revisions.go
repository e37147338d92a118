package relay

import "turmericpulley/core/types"

// Revisions says up to which revision of the store all contracts and all groups are known.
type Revisions struct {
	Contracts types.Revision
	Groups    types.Revision
}

// Covers reports whether everything that other holds is known.
func (r Revisions) Covers(other Revisions) bool {
	return r.Contracts >= other.Contracts && r.Groups >= other.Groups
}

// Highest returns the highest revision of any document.
func (r Revisions) Highest() types.Revision { return max(r.Contracts, r.Groups) }

package relay

import "turmericpulley/core/types"

// Revisions holds the revisions of the store up to which all contracts and all groups are known.
type Revisions struct {
	Contracts types.Revision
	Groups    types.Revision
}

// Covers reports whether both revisions are at least those of other.
func (r Revisions) Covers(other Revisions) bool {
	return r.Contracts >= other.Contracts && r.Groups >= other.Groups
}

// Highest returns the higher of the two revisions.
func (r Revisions) Highest() types.Revision { return max(r.Contracts, r.Groups) }

package quorum

import "turmericpulley/core/types"

const (
	rankBits     = 4
	attemptBits  = 12
	revisionBits = rankBits + attemptBits
	// MaxRank is the number of ranks that may own a database.
	MaxRank = 1 << rankBits
)

// FirstEpoch returns the epoch of the instance at the rank under a revision of the membership.
func FirstEpoch(revision types.Revision, rank int) types.Epoch {
	return types.Epoch(revision)<<revisionBits | types.Epoch(rank%MaxRank)
}

// EpochAbove returns the lowest epoch of the rank that is above another epoch and not below the rank's first epoch.
func EpochAbove(other types.Epoch, revision types.Revision, rank int) types.Epoch {
	epoch := FirstEpoch(revision, rank)
	if epoch > other {
		return epoch
	}
	epoch = other&^(MaxRank-1) | types.Epoch(rank%MaxRank)
	if epoch <= other {
		epoch += MaxRank
	}
	return epoch
}

// EpochRank returns the rank of the instance that an epoch belongs to.
func EpochRank(epoch types.Epoch) int { return int(epoch & (MaxRank - 1)) }

// EpochRevision returns the revision of the membership that an epoch was made under.
func EpochRevision(epoch types.Epoch) types.Revision { return types.Revision(epoch >> revisionBits) }

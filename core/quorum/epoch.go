package quorum

import "turmericpulley/core/types"

// An epoch consists, from the highest bits to the lowest, of the revision of the membership, a count of attempts and the rank
// of the instance in the order of candidates.
const (
	rankBits     = 4
	attemptBits  = 12
	revisionBits = rankBits + attemptBits
	// RankCount is the number of ranks of instances that may own a database; ranks run from 0 to RankCount-1.
	RankCount = 1 << rankBits
)

// FirstEpoch returns the lowest epoch of the instance at the rank under a revision of the membership.
func FirstEpoch(revision types.Revision, rank int) types.Epoch {
	return types.Epoch(revision)<<revisionBits | types.Epoch(rank%RankCount)
}

// EpochAbove returns the lowest epoch of the rank that is above the other epoch and not below the first epoch of the rank.
func EpochAbove(other types.Epoch, revision types.Revision, rank int) types.Epoch {
	epoch := FirstEpoch(revision, rank)
	if epoch > other {
		return epoch
	}
	epoch = other&^(RankCount-1) | types.Epoch(rank%RankCount)
	if epoch <= other {
		epoch += RankCount
	}
	return epoch
}

// EpochRank returns the rank of the instance to which an epoch belongs.
func EpochRank(epoch types.Epoch) int { return int(epoch & (RankCount - 1)) }

// EpochRevision returns the revision of the membership under which an epoch was chosen.
func EpochRevision(epoch types.Epoch) types.Revision { return types.Revision(epoch >> revisionBits) }

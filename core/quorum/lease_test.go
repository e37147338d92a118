package quorum_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"turmericpulley/core/quorum"
	"turmericpulley/core/types"
)

// TestLeasesOfTwoOwnersNeverOverlap lets an old owner poll members at random times before a new owner claims a majority. When
// the new owner may serve, the lease of the old owner has to be over.
func TestLeasesOfTwoOwnersNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		old := make([]quorum.Observation, 0, 3)
		lastPoll := map[int]time.Time{}
		for member := range 3 {
			sent := start.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "sentMs")) * time.Millisecond)
			arrived := sent.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "transitMs")) * time.Millisecond)
			old = append(old, quorum.Observation{Status: quorum.Status{Epoch: 1}, SentAt: sent})
			lastPoll[member] = arrived
		}
		claimAt := start.Add(2 * time.Second)
		majority := rapid.SliceOfNDistinct(rapid.IntRange(0, 2), 2, 3, rapid.ID[int]).Draw(t, "claimed")
		claimed := make([]quorum.Status, 0, len(majority))
		for _, member := range majority {
			claimed = append(claimed, quorum.Status{Epoch: 2, SinceOwner: claimAt.Sub(lastPoll[member])})
		}
		serveAt := claimAt.Add(quorum.WaitAfterClaim(claimed))
		require.False(t, quorum.LeaseExpiry(old, 1, 2).After(serveAt))
	})
}

func TestLeaseRequiresMajorityThatReportsItsEpoch(t *testing.T) {
	now := time.Unix(1000, 0)
	observe := func(epoch types.Epoch, ago time.Duration) quorum.Observation {
		return quorum.Observation{Status: quorum.Status{Epoch: epoch}, SentAt: now.Add(-ago)}
	}
	require.True(t, quorum.LeaseExpiry([]quorum.Observation{observe(1, 0), observe(2, 0)}, 1, 2).IsZero())
	until := quorum.LeaseExpiry([]quorum.Observation{observe(1, 0), observe(1, 300*time.Millisecond), observe(1, time.Hour)}, 1, 2)
	require.Equal(t, now.Add(quorum.LeaseDuration-300*time.Millisecond), until)
	require.Zero(t, quorum.WaitAfterClaim([]quorum.Status{{SinceOwner: -1}, {SinceOwner: 2 * quorum.LeaseDuration}}))
}

func TestAgeIsUpperBoundOfTimeSinceDataWasCurrent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history quorum.PositionHistory
		// currentUntil holds, for each position, the last time at which it was the end of the log.
		currentUntil := map[types.Position]time.Time{}
		position := types.Position(1)
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "pauseMs")) * time.Millisecond)
			currentUntil[position] = now
			position += types.Position(rapid.IntRange(0, 2).Draw(t, "writes"))
			currentUntil[position] = now
			history.Record(position, now)
		}
		applied := types.Position(rapid.Uint64Range(0, uint64(position)).Draw(t, "applied"))
		if age, ok := history.Age(applied, now); ok {
			require.GreaterOrEqual(t, age, now.Sub(latest(currentUntil, applied)))
		}
		age, ok := history.Age(position, now)
		require.True(t, ok)
		require.Zero(t, age)
	})
}

// latest returns the last time at which any position up to the applied one was the end of the log.
func latest(currentUntil map[types.Position]time.Time, applied types.Position) time.Time {
	var last time.Time
	for p, until := range currentUntil {
		if p <= applied && until.After(last) {
			last = until
		}
	}
	return last
}

func TestEpochAboveIsHigherAndKeepsRankAndRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		revision := types.Revision(rapid.Uint64Range(1, 1<<40).Draw(t, "revision"))
		rank := rapid.IntRange(0, quorum.RankCount-1).Draw(t, "rank")
		other := quorum.FirstEpoch(revision, rapid.IntRange(0, quorum.RankCount-1).Draw(t, "otherRank"))
		epoch := quorum.EpochAbove(other, revision, rank)
		require.Greater(t, epoch, other)
		require.Equal(t, rank, quorum.EpochRank(epoch))
		require.Equal(t, revision, quorum.EpochRevision(epoch))
		require.Greater(t, quorum.FirstEpoch(revision+1, rank), epoch)
	})
}

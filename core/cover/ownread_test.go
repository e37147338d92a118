package cover_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/cover"
)

// TestFollowersReadTheStoreInTurns counts the own reads of a data centre of 60 instances while the store serves none of them.
func TestFollowersReadTheStoreInTurns(t *testing.T) {
	const (
		followers = 60
		outage    = 7 * time.Second
	)
	reads := 0
	for position := range followers {
		failures := 0
		for at := cover.OwnReadDelay(position, followers, 0); at < outage; at += cover.OwnReadDelay(position, followers, failures) {
			failures++
			reads++
		}
	}
	// Each follower by itself, with pauses of up to a second, makes ten reads in that time.
	require.Less(t, reads, followers*3)
	require.Greater(t, reads, followers, "each has tried, in case the store refuses the readers only")
}

func TestFollowersOfSmallDataCentreReadTheStoreBeforeTheLimitOfChanges(t *testing.T) {
	const changeLimit = 3 * time.Second
	require.Less(t, cover.MaxAge+cover.OwnReadDelay(9, 10, 0), changeLimit-200*time.Millisecond)
}

// TestLastFollowerReadsTheStoreBeforeTheLimitOfChanges has data centres of up to a hundred instances, whose fleets allow 5 s for a change:
// the copy counts as fresh for MaxAge, then the follower waits for its turn, and its read may take as long as a slow store needs.
func TestLastFollowerReadsTheStoreBeforeTheLimitOfChanges(t *testing.T) {
	const (
		changeLimit = 5 * time.Second
		slowRead    = 800 * time.Millisecond
	)
	for followers := 1; followers <= 100; followers++ {
		require.Less(t, cover.MaxAge+cover.OwnReadDelay(followers-1, followers, 0)+slowRead, changeLimit, "%d followers", followers)
	}
}

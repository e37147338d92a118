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

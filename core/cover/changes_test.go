package cover_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/clock"
	"turmericpulley/core/cover"
)

// TestStormOfConfigurationsIsFetchedInFewReads replays 25 configurations of 12 KB in two seconds. Everything that the store sends has
// to fit into a quarter of a link of 2 Mbit/s, and the newest must be fetched within a second of its writing.
func TestStormOfConfigurationsIsFetchedInFewReads(t *testing.T) {
	const (
		changes   = 25
		gap       = 80 * time.Millisecond
		bytesEach = 12 << 10
		quarter   = 2_000_000 / 8 / 4
	)
	pace := cover.Changes{}
	start := clock.Moment(time.Hour)
	now, sent, known := start, 0, 0
	readNewest := false
	for known < changes {
		written := min(int(now.Sub(start)/gap)+1, changes)
		if written == known {
			now = now.Add(10 * time.Millisecond)
			continue
		}
		fetched := written - known
		if readNewest {
			fetched = 1
		}
		sent += fetched * bytesEach
		known = written
		var wait time.Duration
		wait, readNewest = pace.Record(now)
		now = now.Add(wait)
	}
	storm := gap * (changes - 1)
	t.Logf("%d KB sent, the newest fetched %s after it was written", sent>>10, now.Sub(start)-storm)
	require.Less(t, sent, int(quarter*(storm+time.Second).Seconds()))
	require.Less(t, now.Sub(start)-storm, 1600*time.Millisecond)
}

func TestSingleChangesAreFetchedFromTheHistory(t *testing.T) {
	pace := cover.Changes{}
	now := clock.Moment(time.Hour)
	for range 3 {
		wait, newestOnly := pace.Record(now)
		require.False(t, newestOnly)
		require.Less(t, wait, 200*time.Millisecond)
		now = now.Add(2 * time.Second)
	}
}

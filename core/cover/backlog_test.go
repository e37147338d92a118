package cover_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/clock"
	"turmericpulley/core/cover"
)

// TestBacklogLastsSinceTheOldestMissingVersion guards against an instance that counts as late by the last change of a storm only, as on time
// with a version between, or as late by a whole storm that it follows.
func TestBacklogLastsSinceTheOldestMissingVersion(t *testing.T) {
	now := clock.Moment(time.Hour)
	b := cover.NewBacklog(clock.Manual(func() clock.Moment { return now }))
	b.Reach(4)
	b.Hear(4)
	now = now.Add(time.Second)
	require.Zero(t, b.Lasts(), "nothing newer is known")
	b.Hear(6)
	now = now.Add(time.Second)
	b.Hear(9)
	now = now.Add(time.Second)
	require.Equal(t, 2*time.Second, b.Lasts())
	require.Equal(t, 2*time.Second, b.Reach(6))
	require.Equal(t, time.Second, b.Lasts(), "version 9 is missing still")
	require.Equal(t, time.Second, b.Reach(9))
	require.Zero(t, b.Lasts())
	now = now.Add(time.Second)
	b.Hear(9)
	b.Hear(3)
	require.Zero(t, b.Lasts())
	b.Hear(10)
	require.Zero(t, b.Lasts())
	now = now.Add(time.Second)
	require.Equal(t, time.Second, b.Lasts())
}

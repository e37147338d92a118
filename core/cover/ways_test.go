package cover_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/cover"
)

func TestStoreThatRefusesThisInstanceIsReachedThroughOthersFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ways := &cover.Ways{}
		require.Equal(t, []cover.Way{cover.Direct, cover.Relayed}, ways.Order())
		ways.RecordFailure(cover.Direct)
		require.Equal(t, []cover.Way{cover.Relayed, cover.Direct}, ways.Order())
		time.Sleep(time.Second)
		require.Equal(t, []cover.Way{cover.Direct, cover.Relayed}, ways.Order(), "the direct way is tried again soon")
	})
}

func TestCallsAreNotRelayedForAWhileWhenTheStoreServesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ways := &cover.Ways{}
		ways.RecordFailure(cover.Direct)
		ways.RecordFailure(cover.Relayed)
		require.Equal(t, []cover.Way{cover.Direct}, ways.Order())
		time.Sleep(3 * time.Second)
		require.Equal(t, []cover.Way{cover.Direct, cover.Relayed}, ways.Order())
	})
}

package node

import (
	"context"
	"time"

	"turmericpulley/core/pause"
)

// firstReadDelay is how long an instance that starts among others leaves the first read of the configuration to its store readers. It covers
// two attempts to reach one, and a reader that starts at the same time.
const firstReadDelay = 600 * time.Millisecond

// awaitFirst waits, before the first configuration, until this instance is known to have to read the store itself: because it follows no store
// readers, or because they do not answer within firstReadDelay. It answers fleets that start together: the whole configuration for each
// instance at once fills the store's link for seconds.
func (s *storeSync) awaitFirst(ctx context.Context) {
	n := s.node
	latest := n.settings.Clock.Now().Add(firstReadDelay)
	for n.configurationVersion() == 0 && ctx.Err() == nil && n.settings.Clock.Until(latest) > 0 {
		if s.fleetRevision.Load() != 0 && len(n.followedReaders()) == 0 {
			return
		}
		pause.For(ctx, firstCheckInterval)
	}
}

// firstCheckInterval is the time between two checks of awaitFirst.
const firstCheckInterval = 20 * time.Millisecond

// untilFresh returns a context that ends when a store reader has made this instance's copy fresh, which makes a read of its own needless:
// the answer may be long, and the store sends it to everyone who starts at the same time.
func (s *storeSync) untilFresh(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	s.node.goroutines.Go(func() {
		for !s.isFresh() && pause.For(ctx, freshnessCheckInterval) {
		}
		cancel()
	})
	return ctx, cancel
}

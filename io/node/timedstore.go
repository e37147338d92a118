package node

import (
	"context"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/cover"
	"turmericpulley/core/types"
)

// timedStore is a store whose answers show in the timeline when the store was at which revision.
type timedStore struct {
	Store
	clock    clock.Clock
	timeline *cover.Timeline
}

func (s timedStore) Range(ctx context.Context, prefix string) ([]Item, types.Revision, error) {
	sent := s.clock.Now()
	items, revision, err := s.Store.Range(ctx, prefix)
	if err == nil {
		s.timeline.Record(revision, sent)
	}
	return items, revision, err
}

func (s timedStore) Watch(ctx context.Context, prefix string, after types.Revision, wait time.Duration) ([]Item, types.Revision, error) {
	sent := s.clock.Now()
	items, next, err := s.Store.Watch(ctx, prefix, after, wait)
	if err == nil {
		if len(items) == 0 && s.clock.Since(sent) >= wait {
			// The store answered after the whole wait, and so at a later moment.
			sent = sent.Add(wait)
		}
		s.timeline.Record(next, sent)
	}
	return items, next, err
}

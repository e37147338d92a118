package peers_test

import (
	"context"
	"sync/atomic"
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/fleet"
	"turmericpulley/core/relay"
	"turmericpulley/core/types"
)

// interruptibleStore cuts one instance off from the store.
type interruptibleStore struct {
	store       *memoryStore
	interrupted atomic.Bool
}

func (g *interruptibleStore) check() error {
	if g.interrupted.Load() {
		return fault.New(fault.StoreUnavailable, "this instance is cut off from the store")
	}
	return nil
}

func (g *interruptibleStore) Get(ctx context.Context, key string) ([]byte, types.Revision, bool, error) {
	if err := g.check(); err != nil {
		return nil, 0, false, err
	}
	return g.store.Get(ctx, key)
}

func (g *interruptibleStore) Put(ctx context.Context, key string, value []byte, expected types.Revision) (types.Revision, error) {
	if err := g.check(); err != nil {
		return 0, err
	}
	return g.store.Put(ctx, key, value, expected)
}

func (g *interruptibleStore) List(ctx context.Context, prefix string, after types.Revision, wait time.Duration) (relay.Page, error) {
	page, err := g.store.List(ctx, prefix, after, wait)
	if shut := g.check(); shut != nil {
		return relay.Page{}, shut
	}
	return page, err
}

func (g *interruptibleStore) Targets(ctx context.Context) ([]fleet.ListEntry, error) {
	if err := g.check(); err != nil {
		return nil, err
	}
	return g.store.Targets(ctx)
}

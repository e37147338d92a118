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

// gate cuts one instance off from the store.
type gate struct {
	store *memoryStore
	shut  atomic.Bool
}

func (g *gate) check() error {
	if g.shut.Load() {
		return fault.New(fault.StoreUnavailable, "this instance is cut off from the store")
	}
	return nil
}

func (g *gate) Get(ctx context.Context, key string) ([]byte, types.Revision, bool, error) {
	if err := g.check(); err != nil {
		return nil, 0, false, err
	}
	return g.store.Get(ctx, key)
}

func (g *gate) Put(ctx context.Context, key string, value []byte, expected types.Revision) (types.Revision, error) {
	if err := g.check(); err != nil {
		return 0, err
	}
	return g.store.Put(ctx, key, value, expected)
}

func (g *gate) List(ctx context.Context, prefix string, after types.Revision, wait time.Duration) (relay.Page, error) {
	page, err := g.store.List(ctx, prefix, after, wait)
	if shut := g.check(); shut != nil {
		return relay.Page{}, shut
	}
	return page, err
}

func (g *gate) Targets(ctx context.Context) ([]fleet.ListEntry, error) {
	if err := g.check(); err != nil {
		return nil, err
	}
	return g.store.Targets(ctx)
}

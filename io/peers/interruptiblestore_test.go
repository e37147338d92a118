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

// interruptibleStore is the access of one instance to the store, which tests can interrupt.
type interruptibleStore struct {
	store       *memoryStore
	interrupted atomic.Bool
}

func (s *interruptibleStore) check() error {
	if s.interrupted.Load() {
		return fault.New(fault.StoreUnavailable, "this instance is cut off from the store")
	}
	return nil
}

func (s *interruptibleStore) Get(ctx context.Context, key string) ([]byte, types.Revision, bool, error) {
	if err := s.check(); err != nil {
		return nil, 0, false, err
	}
	return s.store.Get(ctx, key)
}

func (s *interruptibleStore) Put(ctx context.Context, key string, value []byte, expected types.Revision) (types.Revision, error) {
	if err := s.check(); err != nil {
		return 0, err
	}
	return s.store.Put(ctx, key, value, expected)
}

func (s *interruptibleStore) List(ctx context.Context, prefix string, after types.Revision, wait time.Duration) (relay.Page, error) {
	page, err := s.store.List(ctx, prefix, after, wait)
	if err := s.check(); err != nil {
		return relay.Page{}, err
	}
	return page, err
}

func (s *interruptibleStore) Targets(ctx context.Context) ([]fleet.ListEntry, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	return s.store.Targets(ctx)
}

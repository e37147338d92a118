package peers_test

import (
	"context"
	"strings"
	"sync"
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/fleet"
	"turmericpulley/core/relay"
	"turmericpulley/core/types"
)

// memoryStore is an in-memory implementation of the platform's store.
type memoryStore struct {
	mu       sync.Mutex
	revision types.Revision
	entries  map[string]relay.Entry
	changed  chan struct{}
	down     bool
	calls    int
	// writes counts writes that took effect.
	writes int
	// responsesToLose is the number of writes whose responses are lost after they took effect.
	responsesToLose int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{entries: map[string]relay.Entry{}, changed: make(chan struct{})}
}

func (m *memoryStore) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

func (m *memoryStore) resetCalls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	calls := m.calls
	m.calls = 0
	return calls
}

func (m *memoryStore) writeCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.writes
}

func (m *memoryStore) countCall() error {
	m.calls++
	if m.down {
		return fault.New(fault.StoreUnavailable, "the store is down")
	}
	return nil
}

func (m *memoryStore) Get(_ context.Context, key string) ([]byte, types.Revision, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.countCall(); err != nil {
		return nil, 0, false, err
	}
	e, found := m.entries[key]
	return e.Value, e.Revision, found && !e.Deleted, nil
}

func (m *memoryStore) Put(_ context.Context, key string, value []byte, expected types.Revision) (types.Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.countCall(); err != nil {
		return 0, err
	}
	if m.entries[key].Revision != expected {
		return m.entries[key].Revision, fault.New(fault.RevisionConflict, "another revision")
	}
	m.revision++
	m.writes++
	m.entries[key] = relay.Entry{Key: key, Value: value, Revision: m.revision}
	close(m.changed)
	m.changed = make(chan struct{})
	if m.responsesToLose > 0 {
		m.responsesToLose--
		return 0, fault.New(fault.StoreUnavailable, "the response was lost")
	}
	return m.revision, nil
}

func (m *memoryStore) List(
	ctx context.Context, prefix string, after types.Revision, wait time.Duration,
) (relay.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.countCall(); err != nil {
		return relay.Page{}, err
	}
	for {
		page := m.page(prefix, after)
		if len(page.Entries) > 0 {
			return page, nil
		}
		changed := m.changed
		m.mu.Unlock()
		timedOut := false
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			timedOut = true
		}
		m.mu.Lock()
		if m.down || ctx.Err() != nil {
			return relay.Page{}, fault.New(fault.StoreUnavailable, "the store is down")
		}
		if timedOut {
			return m.page(prefix, after), nil
		}
	}
}

func (m *memoryStore) Targets(context.Context) ([]fleet.ListEntry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return nil, m.countCall()
}

func (m *memoryStore) page(prefix string, after types.Revision) relay.Page {
	page := relay.Page{Revision: m.revision}
	for key, e := range m.entries {
		if strings.HasPrefix(key, prefix) && e.Revision > after {
			page.Entries = append(page.Entries, e)
		}
	}
	return page
}

package reads

import (
	"sync"

	"turmericpulley/core/types"
)

// MinPositions holds, for each session, the lowest position that its next read may show; it is safe for concurrent use.
type MinPositions struct {
	mu       sync.Mutex
	base     types.Position
	sessions map[Session]types.Position
}

// NewMinPositions returns floors that start at the base for every session.
func NewMinPositions(base types.Position) *MinPositions {
	return &MinPositions{base: base, sessions: map[Session]types.Position{}}
}

// For returns the lowest position that the session's next read may show.
func (f *MinPositions) For(s Session) types.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.base, f.sessions[s])
}

// Record records that the session has seen the position, by a write or a read.
func (f *MinPositions) Record(s Session, seen types.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if seen > f.base && seen > f.sessions[s] {
		f.sessions[s] = seen
	}
}

// RaiseBase lifts the floor of every session to at least the position.
func (f *MinPositions) RaiseBase(position types.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if position > f.base {
		f.base = position
		f.prune()
	}
}

// RecordApplied tells that every member that serves reads has applied the position, so lower floors can be forgotten.
func (f *MinPositions) RecordApplied(position types.Position) { f.RaiseBase(position) }

// Len returns the number of sessions held.
func (f *MinPositions) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sessions)
}

func (f *MinPositions) prune() {
	for s, p := range f.sessions {
		if p <= f.base {
			delete(f.sessions, s)
		}
	}
}

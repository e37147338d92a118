package reads

import (
	"sync"

	"turmericpulley/core/types"
)

// MinPositions holds, for each session, the minimum position that its next read must show; it is safe for concurrent use.
type MinPositions struct {
	mu sync.Mutex
	// base is the minimum for every session; sessions holds only positions above it.
	base     types.Position
	sessions map[Session]types.Position
}

// NewMinPositions returns minimum positions that start at the base for every session.
func NewMinPositions(base types.Position) *MinPositions {
	return &MinPositions{base: base, sessions: map[Session]types.Position{}}
}

// For returns the minimum position that the session's next read must show.
func (m *MinPositions) For(s Session) types.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.base, m.sessions[s])
}

// Record records that the session has seen the position, by a write or a read.
func (m *MinPositions) Record(s Session, seen types.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if seen > m.base && seen > m.sessions[s] {
		m.sessions[s] = seen
	}
}

// RaiseBase raises the minimum position of every session to at least the position.
func (m *MinPositions) RaiseBase(position types.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if position > m.base {
		m.base = position
		m.prune()
	}
}

// RecordApplied records that every member that serves reads has applied the position, so that lower minimums can be removed.
func (m *MinPositions) RecordApplied(position types.Position) { m.RaiseBase(position) }

// Len returns the number of sessions with a minimum position above the base.
func (m *MinPositions) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.sessions)
}

func (m *MinPositions) prune() {
	for s, p := range m.sessions {
		if p <= m.base {
			delete(m.sessions, s)
		}
	}
}

package class

import "sync"

// maxStatements bounds the memory of a Writes.
const maxStatements = 8192

// Writes is a bounded set of hashes of statements that only a primary runs; it is safe for concurrent use.
type Writes struct {
	mu      sync.RWMutex
	current map[uint64]struct{}
	older   map[uint64]struct{}
}

// NewWrites returns an empty set.
func NewWrites() *Writes {
	return &Writes{current: map[uint64]struct{}{}, older: map[uint64]struct{}{}}
}

// Learn adds a statement; when the set is full the half that was learned first is forgotten. Zero
// stands for a statement without a hash and is not kept.
func (w *Writes) Learn(statement uint64) {
	if statement == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.current) >= maxStatements/2 {
		w.older = w.current
		w.current = map[uint64]struct{}{}
	}
	w.current[statement] = struct{}{}
}

// Contains reports whether the statement was learned.
func (w *Writes) Contains(statement uint64) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if _, ok := w.current[statement]; ok {
		return true
	}
	_, ok := w.older[statement]
	return ok
}

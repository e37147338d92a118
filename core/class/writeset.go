package class

import "sync"

// maxStatements is the largest number of statements that a WriteSet holds, which bounds its memory.
const maxStatements = 8192

// WriteSet is a bounded set of the hashes of statements that only a primary can run; it is safe for concurrent use.
type WriteSet struct {
	mu       sync.RWMutex
	current  map[uint64]struct{}
	previous map[uint64]struct{}
}

// NewWriteSet returns an empty set.
func NewWriteSet() *WriteSet {
	return &WriteSet{current: map[uint64]struct{}{}, previous: map[uint64]struct{}{}}
}

// Add adds the hash of a statement. When the current half of the set is full it becomes the previous half, and the former
// previous half is dropped. Zero stands for a statement without a hash and is not added.
func (w *WriteSet) Add(statement uint64) {
	if statement == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.current) >= maxStatements/2 {
		w.previous = w.current
		w.current = map[uint64]struct{}{}
	}
	w.current[statement] = struct{}{}
}

// Contains reports whether the set holds the hash of the statement.
func (w *WriteSet) Contains(statement uint64) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if _, ok := w.current[statement]; ok {
		return true
	}
	_, ok := w.previous[statement]
	return ok
}

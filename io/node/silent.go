package node

import (
	"sync"
	"time"

	"turmericpulley/core/types"
)

// unresponsiveLimit is how long an owner that did not answer is tried only after its deputy.
const unresponsiveLimit = 2 * time.Second

// unresponsive remembers owners that did not answer lately; it is safe for concurrent use.
type unresponsive struct {
	mu   sync.Mutex
	last map[types.InstanceID]time.Time
}

func newUnresponsive() *unresponsive { return &unresponsive{last: map[types.InstanceID]time.Time{}} }

// record remembers that the way to the instance broke.
func (s *unresponsive) record(id types.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[id] = time.Now()
}

// clear forgets all, as when a deputy says that it does not act.
func (s *unresponsive) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.last)
}

// recently reports whether the way to the instance broke a moment ago.
func (s *unresponsive) recently(id types.InstanceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, noted := s.last[id]
	return noted && time.Since(at) < unresponsiveLimit
}

package node

import (
	"sync"
	"time"

	"turmericpulley/core/types"
)

// silentLimit is how long an owner that did not answer is tried only after its deputy.
const silentLimit = 2 * time.Second

// silent remembers owners that did not answer lately; it is safe for concurrent use.
type silent struct {
	mu   sync.Mutex
	last map[types.InstanceID]time.Time
}

func newSilent() *silent { return &silent{last: map[types.InstanceID]time.Time{}} }

// note remembers that the way to the instance broke.
func (s *silent) note(id types.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[id] = time.Now()
}

// clear forgets all, as when a deputy says that it does not act.
func (s *silent) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.last)
}

// lately reports whether the way to the instance broke a moment ago.
func (s *silent) lately(id types.InstanceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, noted := s.last[id]
	return noted && time.Since(at) < silentLimit
}

package pgsrv

import (
	"sync"

	"turmericpulley/core/fault"
)

// Refusals counts refusals by kind of fault.
type Refusals struct {
	mutex  sync.Mutex
	counts map[fault.Kind]uint64
}

// Add counts one refusal.
func (r *Refusals) Add(kind fault.Kind) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.counts == nil {
		r.counts = make(map[fault.Kind]uint64)
	}
	r.counts[kind]++
}

// Snapshot returns a copy of the counts.
func (r *Refusals) Snapshot() map[fault.Kind]uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	counts := make(map[fault.Kind]uint64, len(r.counts))
	for kind, count := range r.counts {
		counts[kind] = count
	}
	return counts
}

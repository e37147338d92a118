package fakekv

import (
	"sync"
	"time"
)

// targetHistory keeps every version of the target list with the time at which it was set.
type targetHistory struct {
	mu       sync.Mutex
	versions []targetListVersion
}

// targetListVersion is the target list in force from a time until the next version.
type targetListVersion struct {
	since   time.Time
	targets []Target
}

func (h *targetHistory) set(targets []Target, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = append(h.versions, targetListVersion{since: now, targets: append([]Target{}, targets...)})
}

// at returns the list that was in force at a time, or an empty list before the first version.
func (h *targetHistory) at(t time.Time) []Target {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.versions) - 1; i >= 0; i-- {
		if !h.versions[i].since.After(t) {
			return h.versions[i].targets
		}
	}
	return []Target{}
}

package trace

import (
	"slices"
	"sync"

	"turmericpulley/core/types"
)

// shard holds the trails of the requests whose ids fall to it, the oldest replaced first.
type shard struct {
	mu     sync.Mutex
	slots  []Trail
	places map[types.RequestID]int
	next   int
}

func newShard(capacity int) *shard {
	return &shard{slots: make([]Trail, capacity), places: make(map[types.RequestID]int, capacity)}
}

// begin starts a trail in the oldest slot, unless the request has one.
func (s *shard) begin(trail Trail) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := types.RequestID(trail.RequestID)
	if _, known := s.places[id]; known {
		return
	}
	slot := &s.slots[s.next]
	if replaced := types.RequestID(slot.RequestID); s.places[replaced] == s.next {
		delete(s.places, replaced)
	}
	trail.Events = slot.Events[:0]
	*slot = trail
	s.places[id] = s.next
	s.next = (s.next + 1) % len(s.slots)
}

func (s *shard) add(id types.RequestID, event Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	place, known := s.places[id]
	if !known {
		return
	}
	slot := &s.slots[place]
	if len(slot.Events) == maxEvents {
		slot.Dropped++
		return
	}
	slot.Events = append(slot.Events, event)
}

func (s *shard) find(id types.RequestID) (Trail, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	place, known := s.places[id]
	if !known {
		return Trail{}, false
	}
	trail := s.slots[place]
	trail.Events = slices.Clone(trail.Events)
	return trail, true
}

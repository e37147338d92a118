package trace

import (
	"slices"
	"sync"

	"turmericpulley/core/types"
)

// shard holds the trails of the requests whose ids fall to it, the oldest replaced first.
type shard struct {
	mu       sync.Mutex
	traces   []Trace
	slotByID map[types.RequestID]int
	nextSlot int
}

func newShard(capacity int) *shard {
	return &shard{traces: make([]Trace, capacity), slotByID: make(map[types.RequestID]int, capacity)}
}

// begin starts a trail in the oldest slot, unless the request has one.
func (s *shard) begin(trail Trace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := types.RequestID(trail.RequestID)
	if _, known := s.slotByID[id]; known {
		return
	}
	slot := &s.traces[s.nextSlot]
	if replaced := types.RequestID(slot.RequestID); s.slotByID[replaced] == s.nextSlot {
		delete(s.slotByID, replaced)
	}
	trail.Events = slot.Events[:0]
	*slot = trail
	s.slotByID[id] = s.nextSlot
	s.nextSlot = (s.nextSlot + 1) % len(s.traces)
}

func (s *shard) add(id types.RequestID, event Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	place, known := s.slotByID[id]
	if !known {
		return
	}
	slot := &s.traces[place]
	if len(slot.Events) == maxEventsPerTrace {
		slot.Dropped++
		return
	}
	slot.Events = append(slot.Events, event)
}

func (s *shard) find(id types.RequestID) (Trace, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	place, known := s.slotByID[id]
	if !known {
		return Trace{}, false
	}
	trail := s.traces[place]
	trail.Events = slices.Clone(trail.Events)
	return trail, true
}

package trace

import (
	"slices"
	"sync"

	"turmericpulley/core/types"
)

// shard holds the traces of the requests whose ids hash to it. The traces are in a ring buffer; a new one replaces the oldest.
type shard struct {
	mu       sync.Mutex
	traces   []Trace
	slotByID map[types.RequestID]int
	nextSlot int
}

func newShard(capacity int) *shard {
	return &shard{traces: make([]Trace, capacity), slotByID: make(map[types.RequestID]int, capacity)}
}

// begin starts a trace in the slot of the oldest one, unless the request has a trace.
func (s *shard) begin(trace Trace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := types.RequestID(trace.RequestID)
	if _, found := s.slotByID[id]; found {
		return
	}
	slot := &s.traces[s.nextSlot]
	if replaced := types.RequestID(slot.RequestID); s.slotByID[replaced] == s.nextSlot {
		delete(s.slotByID, replaced)
	}
	trace.Events = slot.Events[:0]
	*slot = trace
	s.slotByID[id] = s.nextSlot
	s.nextSlot = (s.nextSlot + 1) % len(s.traces)
}

func (s *shard) add(id types.RequestID, event Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	index, found := s.slotByID[id]
	if !found {
		return
	}
	slot := &s.traces[index]
	if len(slot.Events) == maxEventsPerTrace {
		slot.Dropped++
		return
	}
	slot.Events = append(slot.Events, event)
}

func (s *shard) find(id types.RequestID) (Trace, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	index, found := s.slotByID[id]
	if !found {
		return Trace{}, false
	}
	trace := s.traces[index]
	trace.Events = slices.Clone(trace.Events)
	return trace, true
}

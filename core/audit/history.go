package audit

import (
	"slices"
	"sync"
	"time"
)

// History collects the operations of all sessions of one process.
type History struct {
	start      time.Time
	mutex      sync.Mutex
	operations []Operation
}

// NewHistory returns an empty history that starts now.
func NewHistory() *History { return &History{start: time.Now()} }

// Now returns the current moment of the history.
func (h *History) Now() Moment { return h.At(time.Now()) }

// At converts a time returned by time.Now into a moment of the history.
func (h *History) At(t time.Time) Moment { return Moment(t.Sub(h.start)) }

// Add records operations that have returned.
func (h *History) Add(operations ...Operation) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.operations = append(h.operations, operations...)
}

// Operations returns the operations recorded so far, ordered by start.
func (h *History) Operations() []Operation {
	h.mutex.Lock()
	operations := slices.Clone(h.operations)
	h.mutex.Unlock()
	sortByInvoked(operations)
	return operations
}

func sortByInvoked(operations []Operation) {
	slices.SortStableFunc(operations, func(a, b Operation) int { return int(a.Invoked - b.Invoked) })
}

package admit

import (
	"context"
	"fmt"
	"sync"
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/types"
)

// Gate shares the connections of one target among customers by weight; it is safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	capacity int
	inUse    int
	closed   bool
	queues   map[types.CustomerID]*queue
}

// NewGate returns a gate that holds at most capacity grants at once.
func NewGate(capacity int) *Gate {
	return &Gate{capacity: capacity, queues: map[types.CustomerID]*queue{}}
}

// Acquire waits for a grant; the caller returns it by Release. Errors are faults of the kinds QueueFull, QueueTimeout and NoOwner.
func (g *Gate) Acquire(ctx context.Context, customer types.CustomerID, limits Limits) error {
	g.mu.Lock()
	q := g.queue(customer, limits)
	if !g.closed && len(q.waiting) == 0 && g.inUse < g.capacity && q.inUse < limits.Connections {
		g.inUse++
		q.grant()
		g.mu.Unlock()
		return nil
	}
	if g.closed {
		g.mu.Unlock()
		return errClosed()
	}
	if len(q.waiting) >= limits.QueueLength {
		g.mu.Unlock()
		return fault.New(fault.QueueFull, fmt.Sprintf("customer %s has %d requests waiting for one target", customer, limits.QueueLength))
	}
	w := &waiter{granted: make(chan struct{})}
	q.waiting = append(q.waiting, w)
	g.mu.Unlock()
	return g.wait(ctx, q, w, limits.QueueTimeout)
}

// TryAcquire takes a grant for housekeeping; it fails when any request holds the last one or waits.
func (g *Gate) TryAcquire() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || g.inUse >= g.capacity {
		return false
	}
	for _, q := range g.queues {
		if len(q.waiting) > 0 {
			return false
		}
	}
	g.inUse++
	return true
}

// Release returns a grant.
func (g *Gate) Release(customer types.CustomerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inUse--
	if q, ok := g.queues[customer]; ok {
		q.inUse--
	}
	g.dispatch()
	g.forgetIdle(customer)
}

// InUse returns the grants held and the requests waiting.
func (g *Gate) InUse() (held, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, q := range g.queues {
		waiting += len(q.waiting)
	}
	return g.inUse, waiting
}

// Close refuses all that wait or come later.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, q := range g.queues {
		for _, w := range q.waiting {
			close(w.granted)
		}
		q.waiting = nil
	}
}

func (g *Gate) wait(ctx context.Context, q *queue, w *waiter, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var expired error
	select {
	case <-w.granted:
		return g.outcome(w)
	case <-timer.C:
		expired = fault.New(fault.QueueTimeout, "no connection to the target came free in time")
	case <-ctx.Done():
		expired = fault.New(fault.QueueTimeout, "the request's time ended while it waited for a connection")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.done {
		return nil
	}
	if g.closed {
		return errClosed()
	}
	q.remove(w)
	g.forgetIdle(q.customer)
	return expired
}

func (g *Gate) outcome(w *waiter) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.done {
		return nil
	}
	return errClosed()
}

func (g *Gate) queue(customer types.CustomerID, limits Limits) *queue {
	q, ok := g.queues[customer]
	if !ok {
		q = &queue{customer: customer, served: g.lowestServed()}
		g.queues[customer] = q
	}
	q.limits = limits
	return q
}

// lowestServed keeps a newcomer from claiming the time that it was away.
func (g *Gate) lowestServed() float64 {
	first := true
	var lowest float64
	for _, q := range g.queues {
		if first || q.served < lowest {
			lowest = q.served
			first = false
		}
	}
	return lowest
}

func (g *Gate) dispatch() {
	for g.inUse < g.capacity {
		q := g.next()
		if q == nil {
			return
		}
		w := q.waiting[0]
		q.waiting = q.waiting[1:]
		w.done = true
		g.inUse++
		q.grant()
		close(w.granted)
	}
}

func (g *Gate) next() *queue {
	var best *queue
	for _, q := range g.queues {
		if q.eligible() && (best == nil || q.served < best.served) {
			best = q
		}
	}
	return best
}

func (g *Gate) forgetIdle(customer types.CustomerID) {
	if q, ok := g.queues[customer]; ok && q.inUse == 0 && len(q.waiting) == 0 {
		delete(g.queues, customer)
	}
}

func errClosed() error {
	return fault.New(fault.NoOwner, "the database changed hands while the request waited")
}

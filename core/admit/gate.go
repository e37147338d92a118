package admit

import (
	"context"
	"fmt"
	"sync"
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/types"
)

// ConnLimiter shares the connections of one target among customers by weight; it is safe for concurrent use.
type ConnLimiter struct {
	mu       sync.Mutex
	capacity int
	inUse    int
	closed   bool
	queues   map[types.CustomerID]*queue
}

// NewConnLimiter returns a gate that holds at most capacity grants at once.
func NewConnLimiter(capacity int) *ConnLimiter {
	return &ConnLimiter{capacity: capacity, queues: map[types.CustomerID]*queue{}}
}

// Acquire waits for a grant; the caller returns it by Release. Errors are faults of the kinds QueueFull, QueueTimeout and NoOwner.
func (g *ConnLimiter) Acquire(ctx context.Context, customer types.CustomerID, limits Limits) error {
	g.mu.Lock()
	q := g.customerQueue(customer, limits)
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
	w := &waiter{decided: make(chan struct{})}
	q.waiting = append(q.waiting, w)
	g.mu.Unlock()
	return g.wait(ctx, q, w, limits.QueueTimeout)
}

// TryAcquire takes a grant for housekeeping; it fails when any request holds the last one or waits.
func (g *ConnLimiter) TryAcquire() bool {
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
func (g *ConnLimiter) Release(customer types.CustomerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inUse--
	if q, ok := g.queues[customer]; ok {
		q.inUse--
	}
	g.dispatch()
	g.removeIdleQueue(customer)
}

// InUse returns the grants held and the requests waiting.
func (g *ConnLimiter) InUse() (held, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, q := range g.queues {
		waiting += len(q.waiting)
	}
	return g.inUse, waiting
}

// Close refuses all that wait or come later.
func (g *ConnLimiter) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, q := range g.queues {
		for _, w := range q.waiting {
			close(w.decided)
		}
		q.waiting = nil
	}
}

func (g *ConnLimiter) wait(ctx context.Context, q *queue, w *waiter, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var expired error
	select {
	case <-w.decided:
		return g.result(w)
	case <-timer.C:
		expired = fault.New(fault.QueueTimeout, "no connection to the target came free in time")
	case <-ctx.Done():
		expired = fault.New(fault.QueueTimeout, "the request's time ended while it waited for a connection")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.hasGrant {
		return nil
	}
	if g.closed {
		return errClosed()
	}
	q.remove(w)
	g.removeIdleQueue(q.customer)
	return expired
}

func (g *ConnLimiter) result(w *waiter) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.hasGrant {
		return nil
	}
	return errClosed()
}

func (g *ConnLimiter) customerQueue(customer types.CustomerID, limits Limits) *queue {
	q, ok := g.queues[customer]
	if !ok {
		q = &queue{customer: customer, weightedGrants: g.lowestWeightedGrants()}
		g.queues[customer] = q
	}
	q.limits = limits
	return q
}

// lowestWeightedGrants keeps a newcomer from claiming the time that it was away.
func (g *ConnLimiter) lowestWeightedGrants() float64 {
	first := true
	var lowest float64
	for _, q := range g.queues {
		if first || q.weightedGrants < lowest {
			lowest = q.weightedGrants
			first = false
		}
	}
	return lowest
}

func (g *ConnLimiter) dispatch() {
	for g.inUse < g.capacity {
		q := g.nextQueue()
		if q == nil {
			return
		}
		w := q.waiting[0]
		q.waiting = q.waiting[1:]
		w.hasGrant = true
		g.inUse++
		q.grant()
		close(w.decided)
	}
}

func (g *ConnLimiter) nextQueue() *queue {
	var best *queue
	for _, q := range g.queues {
		if q.eligible() && (best == nil || q.weightedGrants < best.weightedGrants) {
			best = q
		}
	}
	return best
}

func (g *ConnLimiter) removeIdleQueue(customer types.CustomerID) {
	if q, ok := g.queues[customer]; ok && q.inUse == 0 && len(q.waiting) == 0 {
		delete(g.queues, customer)
	}
}

func errClosed() error {
	return fault.New(fault.NoOwner, "the database changed hands while the request waited")
}

package admit

import (
	"context"
	"fmt"
	"sync"
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/types"
)

// ConnLimiter bounds the connections to one target and shares them among customers by weight; it is safe for concurrent use.
type ConnLimiter struct {
	mu       sync.Mutex
	capacity int
	inUse    int
	closed   bool
	queues   map[types.AccountID]*queue
}

// NewConnLimiter returns a limiter that gives at most capacity grants at once.
func NewConnLimiter(capacity int) *ConnLimiter {
	return &ConnLimiter{capacity: capacity, queues: map[types.AccountID]*queue{}}
}

// Acquire waits for a grant; the caller returns it by Release. Errors are faults of the kinds QueueFull, QueueTimeout and
// NoOwner.
func (l *ConnLimiter) Acquire(ctx context.Context, customer types.AccountID, limits Limits) error {
	l.mu.Lock()
	q := l.customerQueue(customer, limits)
	if !l.closed && len(q.waiting) == 0 && l.inUse < l.capacity && q.inUse < limits.Connections {
		l.inUse++
		q.grant()
		l.mu.Unlock()
		return nil
	}
	if l.closed {
		l.mu.Unlock()
		return errNotOwner()
	}
	if len(q.waiting) >= limits.QueueLength {
		l.mu.Unlock()
		return fault.New(fault.QueueFull, fmt.Sprintf("customer %s already has %d requests waiting for a connection to the target", customer, limits.QueueLength))
	}
	w := &waiter{decided: make(chan struct{})}
	q.waiting = append(q.waiting, w)
	l.mu.Unlock()
	return l.wait(ctx, q, w, limits.QueueTimeout)
}

// TryAcquire takes a grant for internal work without waiting; it fails if no grant is free or any request waits.
func (l *ConnLimiter) TryAcquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.inUse >= l.capacity {
		return false
	}
	for _, q := range l.queues {
		if len(q.waiting) > 0 {
			return false
		}
	}
	l.inUse++
	return true
}

// Release returns a grant; the customer is empty for a grant of TryAcquire.
func (l *ConnLimiter) Release(customer types.AccountID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inUse--
	if q, ok := l.queues[customer]; ok {
		q.inUse--
	}
	l.dispatch()
	l.removeIdleQueue(customer)
}

// InUse returns the number of grants held and of requests waiting.
func (l *ConnLimiter) InUse() (held, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, q := range l.queues {
		waiting += len(q.waiting)
	}
	return l.inUse, waiting
}

// Close refuses all waiting and later requests.
func (l *ConnLimiter) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, q := range l.queues {
		for _, w := range q.waiting {
			close(w.decided)
		}
		q.waiting = nil
	}
}

func (l *ConnLimiter) wait(ctx context.Context, q *queue, w *waiter, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var expired error
	select {
	case <-w.decided:
		return l.result(w)
	case <-timer.C:
		expired = fault.New(fault.QueueTimeout, "no connection to the target became free within the queue timeout")
	case <-ctx.Done():
		expired = fault.New(fault.QueueTimeout, "the request was cancelled or timed out while it waited for a connection")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.hasGrant {
		return nil
	}
	if l.closed {
		return errNotOwner()
	}
	q.remove(w)
	l.removeIdleQueue(q.customer)
	return expired
}

func (l *ConnLimiter) result(w *waiter) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.hasGrant {
		return nil
	}
	return errNotOwner()
}

func (l *ConnLimiter) customerQueue(customer types.AccountID, limits Limits) *queue {
	q, ok := l.queues[customer]
	if !ok {
		q = &queue{customer: customer, weightedGrants: l.lowestWeightedGrants()}
		l.queues[customer] = q
	}
	q.limits = limits
	return q
}

// lowestWeightedGrants returns the value that a new queue starts with. Starting at zero would let a customer make up for the time
// in which it sent nothing.
func (l *ConnLimiter) lowestWeightedGrants() float64 {
	first := true
	var lowest float64
	for _, q := range l.queues {
		if first || q.weightedGrants < lowest {
			lowest = q.weightedGrants
			first = false
		}
	}
	return lowest
}

func (l *ConnLimiter) dispatch() {
	for l.inUse < l.capacity {
		q := l.nextQueue()
		if q == nil {
			return
		}
		w := q.waiting[0]
		q.waiting = q.waiting[1:]
		w.hasGrant = true
		l.inUse++
		q.grant()
		close(w.decided)
	}
}

func (l *ConnLimiter) nextQueue() *queue {
	var best *queue
	for _, q := range l.queues {
		if q.eligible() && (best == nil || q.weightedGrants < best.weightedGrants) {
			best = q
		}
	}
	return best
}

func (l *ConnLimiter) removeIdleQueue(customer types.AccountID) {
	if q, ok := l.queues[customer]; ok && q.inUse == 0 && len(q.waiting) == 0 {
		delete(l.queues, customer)
	}
}

func errNotOwner() error {
	return fault.New(fault.NoOwner, "this instance no longer owns the database")
}

package admit

import "turmericpulley/core/types"

// queue is the state of one customer at one connection limiter.
type queue struct {
	customer types.AccountID
	limits   Limits
	inUse    int
	// weightedGrants is the number of grants divided by the weight; the queue with the lowest value is served first.
	weightedGrants float64
	waiting        []*waiter
}

type waiter struct {
	// decided is closed when the request has its grant or is refused.
	decided  chan struct{}
	hasGrant bool
}

func (q *queue) eligible() bool {
	return len(q.waiting) > 0 && q.inUse < q.limits.Connections
}

func (q *queue) grant() {
	q.inUse++
	q.weightedGrants += 1 / float64(max(q.limits.Weight, 1))
}

func (q *queue) remove(w *waiter) {
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

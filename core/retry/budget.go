package retry

import "sync"

const (
	// creditPerRequest is the share of a retry that each request pays for.
	creditPerRequest = 0.1
	// maxCredit bounds a burst of retries.
	maxCredit = 50
)

// Budget allows retries as a share of ordinary requests; it is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	credit float64
}

// NewBudget returns a budget that allows a first burst of retries.
func NewBudget() *Budget { return &Budget{credit: maxCredit} }

// Earn records one ordinary request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(maxCredit, b.credit+creditPerRequest)
}

// Spend takes one retry from the budget and reports whether there was one left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

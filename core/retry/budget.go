package retry

import "sync"

const (
	// tokensPerRequest is the part of a retry that each ordinary request adds to the budget.
	tokensPerRequest = 0.1
	// maxTokens is the largest burst of retries.
	maxTokens = 50
)

// Budget is a token bucket that limits retries to a share of the ordinary requests; it is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full budget, which allows a burst of retries at once.
func NewBudget() *Budget { return &Budget{tokens: maxTokens} }

// RecordRequest adds the tokens of one ordinary request.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxTokens, b.tokens+tokensPerRequest)
}

// AllowRetry reports whether the budget allows a retry, and takes its token if so.
func (b *Budget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

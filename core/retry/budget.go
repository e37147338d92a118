package retry

import "sync"

const (
	// tokensPerRequest is the share of a retry that each request pays for.
	tokensPerRequest = 0.1
	// maxTokens bounds a burst of retries.
	maxTokens = 50
)

// Budget allows retries as a share of ordinary requests; it is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget that allows a first burst of retries.
func NewBudget() *Budget { return &Budget{tokens: maxTokens} }

// RecordRequest records one ordinary request.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxTokens, b.tokens+tokensPerRequest)
}

// AllowRetry takes one retry from the budget and reports whether there was one left.
func (b *Budget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

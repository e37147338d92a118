package pause

import "time"

// Backoff is a span that doubles with each failure in a row, from Least to Most.
type Backoff struct {
	Min  time.Duration
	Max  time.Duration
	next time.Duration
}

// Next returns the present span and doubles the one after it.
func (b *Backoff) Next() time.Duration {
	span := max(b.next, b.Min)
	b.next = min(2*span, b.Max)
	return span
}

// Reset starts again with the shortest span.
func (b *Backoff) Reset() { b.next = b.Min }

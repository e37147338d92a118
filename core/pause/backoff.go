package pause

import "time"

// Backoff is a span that doubles with each failure in a row, from Least to Most.
type Backoff struct {
	Least time.Duration
	Most  time.Duration
	next  time.Duration
}

// Next returns the present span and doubles the one after it.
func (b *Backoff) Next() time.Duration {
	span := max(b.next, b.Least)
	b.next = min(2*span, b.Most)
	return span
}

// Reset starts again with the shortest span.
func (b *Backoff) Reset() { b.next = b.Least }

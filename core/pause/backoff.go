package pause

import "time"

// Backoff is a delay that doubles with each failure in a row, from Min to Max.
type Backoff struct {
	Min  time.Duration
	Max  time.Duration
	next time.Duration
}

// Next returns the current delay and doubles the one after it.
func (b *Backoff) Next() time.Duration {
	delay := max(b.next, b.Min)
	b.next = min(2*delay, b.Max)
	return delay
}

// Reset starts again with the shortest delay.
func (b *Backoff) Reset() { b.next = b.Min }

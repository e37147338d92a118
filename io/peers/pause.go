package peers

import (
	"math/rand/v2"
	"time"
)

// backoff is a growing pause between attempts.
type backoff struct {
	least time.Duration
	most  time.Duration
	next  time.Duration
}

// pause returns the next pause, between half of and all of a doubling span.
func (b *backoff) pause() time.Duration {
	span := max(b.next, b.least)
	b.next = min(2*span, b.most)
	return span/2 + rand.N(span/2)
}

// reset starts again with the shortest pause.
func (b *backoff) reset() { b.next = b.least }

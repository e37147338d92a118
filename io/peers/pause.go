package peers

import (
	"math/rand/v2"
	"time"

	"turmericpulley/core/pause"
)

// backoff is a growing pause between attempts.
type backoff struct {
	pause.Backoff
}

func newBackoff(least, most time.Duration) backoff {
	return backoff{pause.Backoff{Min: least, Max: most}}
}

// nextJittered returns the next pause, between half of and all of a doubling span.
func (b *backoff) nextJittered() time.Duration {
	span := b.Next()
	return span/2 + rand.N(span/2)
}

package peers

import (
	"math/rand/v2"
	"time"

	"turmericpulley/core/pause"
)

// backoff is an exponential backoff with jitter.
type backoff struct {
	pause.Backoff
}

func newBackoff(shortest, longest time.Duration) backoff {
	return backoff{pause.Backoff{Min: shortest, Max: longest}}
}

// nextJittered returns the next pause, which is random between half the duration of the backoff and all of it; the
// duration doubles at each call, up to its maximum.
func (b *backoff) nextJittered() time.Duration {
	duration := b.Next()
	return duration/2 + rand.N(duration/2)
}

package load

import (
	"context"
	"math/rand/v2"
	"time"

	"turmericpulley/core/pause"
)

const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// backoff sleeps between the attempts of one request, with exponential backoff and jitter.
type backoff struct {
	random *rand.Rand
	delays pause.Backoff
}

func newBackoff(random *rand.Rand) *backoff {
	return &backoff{random: random, delays: pause.Backoff{Min: minBackoff, Max: maxBackoff}}
}

// wait sleeps for a random time between half of the current limit and the whole limit. It doubles the limit up to
// maxBackoff. It returns false if the context ended.
func (b *backoff) wait(ctx context.Context) bool {
	limit := b.delays.Next()
	return pause.For(ctx, limit/2+time.Duration(b.random.Int64N(int64(limit/2))))
}

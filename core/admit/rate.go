package admit

import (
	"fmt"
	"sync"
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/types"
)

// burstPeriod is how long a customer may have saved up its rate.
const burstPeriod = time.Second

// RateLimiter limits the requests per second of each customer; it is safe for concurrent use.
type RateLimiter struct {
	mu      sync.Mutex
	buckets map[types.CustomerID]*bucket
}

type bucket struct {
	tokens  float64
	updated time.Time
}

// NewRateLimiter returns limits without history.
func NewRateLimiter() *RateLimiter { return &RateLimiter{buckets: map[types.CustomerID]*bucket{}} }

// Take counts one request against the rate per second; zero means no limit. The error is a fault of the kind RateExceeded.
func (r *RateLimiter) Take(customer types.CustomerID, rate int, now time.Time) error {
	if rate <= 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	burst := float64(rate) * burstPeriod.Seconds()
	b, ok := r.buckets[customer]
	if !ok {
		b = &bucket{tokens: burst, updated: now}
		r.buckets[customer] = b
	}
	b.tokens = min(burst, b.tokens+now.Sub(b.updated).Seconds()*float64(rate))
	b.updated = now
	if b.tokens < 1 {
		return fault.New(fault.RateExceeded, fmt.Sprintf("customer %s is above %d requests a second", customer, rate))
	}
	b.tokens--
	return nil
}

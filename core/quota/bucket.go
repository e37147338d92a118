package quota

import (
	"time"

	"turmericpulley/core/acct"
	"turmericpulley/core/clock"
)

// evenness is the time for which unused tokens are kept whatever the burst, because operations come in clumps and owners ask in batches.
const evenness = askAhead

// bucket is a token bucket that is filled with a share of a limit.
type bucket struct {
	tokens  float64
	updated clock.Moment
}

// fill adds what is due since the last call at the share of the limit. The first operation of an account need not wait, whatever its
// burst, unless its rate is nought.
func (b *bucket) fill(limit acct.Limit, share float64, now clock.Moment) {
	if limit.Rate <= 0 {
		b.tokens, b.updated = 0, now
		return
	}
	if b.updated == 0 {
		b.tokens = 1
	} else {
		b.tokens += max(0, now.Sub(b.updated).Seconds()) * limit.Rate * share
	}
	b.tokens = min(b.tokens, max(1, room(limit, share)))
	b.updated = max(b.updated, now)
}

// room returns how many tokens are kept for a share of the limit.
func room(limit acct.Limit, share float64) float64 {
	return share * max(limit.Burst, limit.Rate*evenness.Seconds())
}

// wait returns how long until the bucket holds a token; a second where that is not known.
func (b *bucket) wait(limit acct.Limit, share float64) time.Duration {
	rate := limit.Rate * share
	if rate <= 0 {
		return time.Second
	}
	return min(time.Duration((1-b.tokens)/rate*float64(time.Second)), time.Minute)
}

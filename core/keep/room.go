package keep

import (
	"time"

	"turmericpulley/core/clock"
)

// RetryPause is how long after a refusal a member is not asked for one more connection than it took. Members keep connections of a former
// owner that went dark for up to 3 s; a try costs a slot for a moment.
const RetryPause = 100 * time.Millisecond

// BoundTimeout is how long after the last refusal the bound is forgotten: longer than members keep connections of a former owner.
const BoundTimeout = 4 * time.Second

// Room is how many connections a member takes from this owner at the moment. The zero value has no bound. It is not safe for concurrent
// use.
type Room struct {
	bounded bool
	// taken is the number of connections that the member is known to take, and step by how much it is raised after the next success.
	taken, step int
	// retryAt is when one more than taken may be tried, exchangeAt when an idle connection may be closed for a new one.
	retryAt, exchangeAt clock.Moment
	refusedAt           clock.Moment
}

// Refused records that the member refused a connection while it had the given number of connections from this owner.
func (r *Room) Refused(open int, now clock.Moment) {
	if r.bounded {
		if open < r.taken {
			// The member has not noticed a close yet, or others took the place; further closes would only lose connections.
			r.exchangeAt = now.Add(RetryPause)
		}
		open = min(open, r.taken)
	}
	r.bounded, r.taken, r.step, r.retryAt, r.refusedAt = true, open, 1, now.Add(RetryPause), now
}

// Opened records that the member took a connection, with which it has the given number, of the limit.
func (r *Room) Opened(open, limit int) {
	if !r.bounded || open <= r.taken {
		return
	}
	r.taken = open + r.step
	r.step *= 2
	r.bounded = r.taken < limit
}

// Allows reports whether one more connection than the open ones may be tried now. A true answer for one beyond those that the member is
// known to take is given once in each pause.
func (r *Room) Allows(open int, now clock.Moment) bool {
	if r.Fits(open, now) {
		if r.bounded && open >= r.taken {
			r.retryAt = now.Add(RetryPause)
		}
		return true
	}
	return false
}

// Fits reports whether Allows would allow one more connection.
func (r *Room) Fits(open int, now clock.Moment) bool {
	return !r.IsBounded(now) || open < r.taken || now >= r.retryAt
}

// MayExchange reports whether an idle connection may be closed so that the member takes another one.
func (r *Room) MayExchange(now clock.Moment) bool { return now >= r.exchangeAt }

// IsBounded reports whether the member has lately refused a connection, and is not known to take as many as are wanted.
func (r *Room) IsBounded(now clock.Moment) bool {
	return r.bounded && now.Sub(r.refusedAt) < BoundTimeout
}

// Taken returns the number of connections that the member is known to take while there is a bound.
func (r *Room) Taken() int { return r.taken }

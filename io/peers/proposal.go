package peers

import (
	"time"

	"turmericpulley/core/fleet"
)

// proposal is a pending change of the membership.
type proposal struct {
	change fleet.Change
	// dueAt is when the change is to be written.
	dueAt time.Time
	// expiresAt is when the proposal fails if it could not be written. It is zero for a removal after a failure, which is
	// dropped when too few instances report the failure.
	expiresAt time.Time
	// result receives the outcome; nil when nobody waits for it.
	result chan<- error
}

// finish sends the outcome to the waiter, if there is one.
func (p proposal) finish(err error) {
	if p.result != nil {
		p.result <- err
	}
}

// isReady reports whether the proposal may be written together with one that is due. Joins and leaves may always be; a
// removal after a failure is written only when it is due itself.
func (p proposal) isReady(now time.Time) bool { return !p.expiresAt.IsZero() || !p.dueAt.After(now) }

package peers

import (
	"time"

	"turmericpulley/core/fleet"
)

// proposal is a change of the membership that waits to be written.
type proposal struct {
	change fleet.Change
	// dueAt is when to write it.
	dueAt time.Time
	// expiresAt is when to give up; zero means when nothing supports it any more.
	expiresAt time.Time
	// result receives the outcome once; nil when nobody waits.
	result chan<- error
}

// finish tells whoever waits.
func (p proposal) finish(err error) {
	if p.result != nil {
		p.result <- err
	}
}

// isReady reports whether the proposal may be written together with one that is due; a removal waits for its own time.
func (p proposal) isReady(now time.Time) bool { return !p.expiresAt.IsZero() || !p.dueAt.After(now) }

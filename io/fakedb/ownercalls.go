package fakedb

import (
	"time"

	"turmericpulley/core/types"
)

// ownerCalls remembers when owners last asked for the status.
type ownerCalls struct {
	byEpoch map[types.Epoch]time.Time
	older   time.Time
}

func (o *ownerCalls) note(epoch types.Epoch, now time.Time) {
	o.byEpoch[epoch] = now
}

// raise folds the calls of epochs below the new highest into one.
func (o *ownerCalls) raise(highest types.Epoch) {
	for epoch, at := range o.byEpoch {
		if epoch >= highest {
			continue
		}
		if at.After(o.older) {
			o.older = at
		}
		delete(o.byEpoch, epoch)
	}
}

// restarted counts a restart as a call, because calls before it are forgotten.
func (o *ownerCalls) restarted(now time.Time) { o.older = now }

// sinceOlder returns the age of the last call of an epoch below the highest.
func (o *ownerCalls) sinceOlder(highest types.Epoch) time.Duration {
	o.raise(highest)
	if o.older.IsZero() {
		return never
	}
	return time.Since(o.older)
}

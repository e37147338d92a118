package fakedb

import (
	"time"

	"turmericpulley/core/types"
)

// ownerCalls remembers when owners last asked for the status.
type ownerCalls struct {
	byEpoch        map[types.Epoch]time.Time
	lastOlderEpoch time.Time
}

func (o *ownerCalls) record(epoch types.Epoch, now time.Time) {
	o.byEpoch[epoch] = now
}

// mergeBelow folds the calls of epochs below the new highest into one.
func (o *ownerCalls) mergeBelow(highest types.Epoch) {
	for epoch, at := range o.byEpoch {
		if epoch >= highest {
			continue
		}
		if at.After(o.lastOlderEpoch) {
			o.lastOlderEpoch = at
		}
		delete(o.byEpoch, epoch)
	}
}

// recordRestart counts a restart as a call, because calls before it are forgotten.
func (o *ownerCalls) recordRestart(now time.Time) { o.lastOlderEpoch = now }

// sinceOlderEpoch returns the age of the last call of an epoch below the highest.
func (o *ownerCalls) sinceOlderEpoch(highest types.Epoch) time.Duration {
	o.mergeBelow(highest)
	if o.lastOlderEpoch.IsZero() {
		return neverCalled
	}
	return time.Since(o.lastOlderEpoch)
}

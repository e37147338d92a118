package fakedb

import (
	"time"

	"turmericpulley/core/types"
)

// ownerCalls holds the time of the owner's last status or watch call under each epoch. lastOlderEpoch is the latest of these
// times for the epochs below the highest one.
type ownerCalls struct {
	byEpoch        map[types.Epoch]time.Time
	lastOlderEpoch time.Time
}

func (o *ownerCalls) record(epoch types.Epoch, now time.Time) {
	o.byEpoch[epoch] = now
}

// mergeBelow merges the calls of all epochs below the highest into lastOlderEpoch.
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

// recordRestart counts a restart as a call of an older epoch, because the times of calls before it are lost.
func (o *ownerCalls) recordRestart(now time.Time) { o.lastOlderEpoch = now }

// sinceOlderEpoch returns the time since the last call of an epoch below the highest, or neverCalled.
func (o *ownerCalls) sinceOlderEpoch(highest types.Epoch) time.Duration {
	o.mergeBelow(highest)
	if o.lastOlderEpoch.IsZero() {
		return neverCalled
	}
	return time.Since(o.lastOlderEpoch)
}

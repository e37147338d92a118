package node

import (
	"context"
	"time"

	"turmericpulley/core/hold"
	"turmericpulley/core/pause"
	"turmericpulley/core/quota"
)

const (
	// firstFormerCheck is the time between the first two requests to former owners to stop, while the limits count this one for half. A
	// machine that was restarted answers at once.
	firstFormerCheck = 50 * time.Millisecond
	// formerCheckInterval is the longest time between two of them.
	formerCheckInterval = 500 * time.Millisecond
)

// standing returns what this instance knows of its right to the database.
func (o *ownership) standing() quota.Standing {
	return quota.Standing{
		FormerStopped: !o.isActing() && o.formerStopped.Load(),
		Confirmed:     !o.isActing() && o.lease.Remaining() > hold.LeaseDuration-confirmedPeriod,
	}
}

// stopFormer asks the former owners of the database to stop until they have, or the ownership or the context ends.
func (o *ownership) stopFormer(ctx context.Context) {
	delay := pause.Backoff{Min: firstFormerCheck, Max: formerCheckInterval}
	for {
		if directory, _ := o.node.limits.accounts(); directory != nil && !o.isActing() && o.allFormerStopped(ctx) {
			o.formerStopped.Store(true)
			return
		}
		if !pause.For(ctx, delay.Next()) || o.node.ownerships.get(o.database) != o {
			return
		}
	}
}

// allFormerStopped asks the former owners to stop, and reports whether none can be working.
func (o *ownership) allFormerStopped(ctx context.Context) bool {
	if o.formerLeasesEnded() {
		return true
	}
	record := o.current()
	if record.FormerOmitted || o.lacksFormer() {
		return false
	}
	for _, former := range record.Former {
		if former.Instance == o.node.settings.Self.ID && former.Incarnation == o.node.settings.Self.Incarnation {
			continue
		}
		if !o.fence(ctx, former, true) {
			return false
		}
	}
	return true
}

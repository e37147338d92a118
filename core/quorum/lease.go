package quorum

import (
	"slices"
	"time"

	"turmericpulley/core/types"
)

// LeaseDuration is how long an answered poll lets the owner serve, counted from the sending of the poll.
const LeaseDuration = time.Second

// LeaseExpiry returns the time until which no other owner can have started to serve; zero when no majority reports the epoch.
//
// A new owner claims a majority of the members and then waits until LeaseDuration has passed since the old owner last polled
// any of them. The old owner may therefore serve for LeaseDuration after it sent its own polls to a majority.
func LeaseExpiry(observations []Observation, epoch types.Epoch, majority int) time.Time {
	sent := make([]time.Time, 0, len(observations))
	for _, o := range observations {
		if o.Epoch == epoch {
			sent = append(sent, o.SentAt)
		}
	}
	if majority < 1 || len(sent) < majority {
		return time.Time{}
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	return sent[majority-1].Add(LeaseDuration)
}

// WaitAfterClaim returns how long a new owner must still wait for the lease of the old owner to expire, after its claims were
// answered.
func WaitAfterClaim(claimed []Status) time.Duration {
	var wait time.Duration
	for _, s := range claimed {
		if s.SinceOwner >= 0 {
			wait = max(wait, LeaseDuration-s.SinceOwner)
		}
	}
	return wait
}

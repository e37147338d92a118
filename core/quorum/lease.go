package quorum

import (
	"slices"
	"time"

	"turmericpulley/core/types"
)

// LeaseDuration is how long a member's answer entitles the owner to serve.
const LeaseDuration = time.Second

// LeaseExpiry returns the time up to which no other owner can have started to serve; zero when no majority supports the epoch.
//
// A new owner claims a majority of members and then waits until LeaseDuration has passed since the old owner last polled any
// of them, so the old owner may serve for that long after its own polls of a majority were sent.
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

// WaitAfterClaim returns how long a new owner must still wait, after its claims were answered, for the lease of the old one.
func WaitAfterClaim(claimed []Status) time.Duration {
	var wait time.Duration
	for _, s := range claimed {
		if s.SinceOwner >= 0 {
			wait = max(wait, LeaseDuration-s.SinceOwner)
		}
	}
	return wait
}

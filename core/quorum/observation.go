package quorum

import "time"

// Observation is the status of a member and the time at which the query for it was sent; the status is at least as recent.
type Observation struct {
	Status
	SentAt time.Time
}

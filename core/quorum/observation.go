package quorum

import "time"

// Observation is a status with the time at which it was asked for; the status is at least as recent as that.
type Observation struct {
	Status
	SentAt time.Time
}

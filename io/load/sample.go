package load

import (
	"time"

	"turmericpulley/core/audit"
	"turmericpulley/core/types"
)

// sample is the record of one finished request.
type sample struct {
	class         Class
	database      types.DatabaseID
	isWrite       bool
	outcome       audit.Outcome
	intendedStart time.Time
	started       time.Time
	returned      time.Time
}

// latency returns the time from the intended start to the end of the request.
func (s sample) latency() time.Duration { return s.returned.Sub(s.intendedStart) }

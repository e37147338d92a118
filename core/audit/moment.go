package audit

import "time"

// Moment is the time since the start of the history on the monotonic clock.
type Moment time.Duration

// Sub returns the time from the earlier moment to this one.
func (m Moment) Sub(earlier Moment) time.Duration { return time.Duration(m - earlier) }

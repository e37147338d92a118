package load

import "time"

// Rate is a number of requests per second.
type Rate float64

// interval returns the mean time between the starts of two requests.
func (r Rate) interval() time.Duration { return time.Duration(float64(time.Second) / float64(r)) }

// Milliseconds is a duration in milliseconds, as written in results.
type Milliseconds float64

// toMilliseconds converts a duration to milliseconds, with microsecond resolution.
func toMilliseconds(d time.Duration) Milliseconds {
	return Milliseconds(float64(d.Microseconds()) / 1000)
}

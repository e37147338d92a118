package load

import "time"

// Rate is a number of requests per second.
type Rate float64

// interval returns the mean time between two requests.
func (r Rate) interval() time.Duration { return time.Duration(float64(time.Second) / float64(r)) }

// Milliseconds is a length of time as written in results.
type Milliseconds float64

// toMilliseconds converts a duration for a result.
func toMilliseconds(d time.Duration) Milliseconds {
	return Milliseconds(float64(d.Microseconds()) / 1000)
}

package relay

import "time"

// ConfirmedAt returns the time at which an answered listing still described the store. A listing that waited to its end
// for changes and found none was answered that much later than it was sent; any other may be as old as its sending.
func ConfirmedAt(sent, answered time.Time, wait time.Duration, entries int) time.Time {
	if entries == 0 && answered.Sub(sent) >= wait {
		return sent.Add(wait)
	}
	return sent
}

package relay

import "time"

// ConfirmedAt returns the latest time at which the answer to a listing is known to have described the store. A listing that
// waited for changes during its whole wait and found none describes the store at the end of the wait. Any other may describe
// the store as it was when the listing was sent.
func ConfirmedAt(sent, answered time.Time, wait time.Duration, entries int) time.Time {
	if entries == 0 && answered.Sub(sent) >= wait {
		return sent.Add(wait)
	}
	return sent
}

package cover

import "time"

const (
	// firstReadSpan is the time within which all followers of a data centre have begun their first own read: the second that freshness
	// leaves of the 3 s within which a change must be in force.
	firstReadSpan = time.Second
	// ownReadInterval is the longest time between the first own reads of two followers, and between later ones of all together.
	ownReadInterval = time.Second / 12
	// minOwnReadDelay is the shortest time between two own reads of one follower that failed.
	minOwnReadDelay = 250 * time.Millisecond
)

// OwnReadDelay returns how long a follower waits before it reads the store itself, when its store readers answer that the store
// does not serve them. position is its place among the followers of its data centre, and failures is how many of its own reads
// have failed since its configuration was last fresh.
//
// It answers a store that serves nobody: all followers lose their freshness at the same moment, and without turns a fleet of 300
// instances would make several hundred calls a second for as long as the store is away, and at its return. With them it makes these
// calls once, within a second. The store may also refuse the readers only. Followers therefore do read it, one after the other, and the first
// that is served passes the configuration on.
func OwnReadDelay(position, followers, failures int) time.Duration {
	if failures == 0 {
		return time.Duration(position) * min(ownReadInterval, firstReadSpan/time.Duration(max(followers, 1)))
	}
	return max(time.Duration(followers)*ownReadInterval, minOwnReadDelay)
}

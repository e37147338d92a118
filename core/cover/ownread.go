package cover

import "time"

const (
	// ownReadInterval is the time between the first own reads of two followers of a data centre: together they read the store 12
	// times a second, so that a follower among ten has read it within the second that freshness leaves.
	ownReadInterval = time.Second / 12
	// minOwnReadDelay is the shortest time between two own reads of one follower that failed.
	minOwnReadDelay = 250 * time.Millisecond
)

// OwnReadDelay returns how long a follower waits before it reads the store itself, when its store readers answer that the store
// does not serve them. position is its place among the followers of its data centre, and failures is how many of its own reads
// have failed since its configuration was last fresh.
//
// It answers a store that serves nobody: all followers lose their freshness at the same moment, and without turns a fleet of 300
// instances would make several hundred calls a second for as long as the store is away, and at its return. The store may also
// refuse the readers only. Followers therefore do read it, one after the other, and the first that is served passes the
// configuration on.
func OwnReadDelay(position, followers, failures int) time.Duration {
	if failures == 0 {
		return time.Duration(position) * ownReadInterval
	}
	return max(time.Duration(followers)*ownReadInterval, minOwnReadDelay)
}

package cover

import (
	"time"

	"turmericpulley/core/clock"
)

const (
	// singleChangePause is the pause after a change of the configuration before the next one is fetched, so that changes made together
	// are fetched together.
	singleChangePause = 150 * time.Millisecond
	// stormPause is the same in a storm. Together with the way through a store reader it leaves most of the 3 s within which a change
	// must be in force.
	stormPause = 600 * time.Millisecond
	// stormPeriod is the time between two changes up to which they belong to a storm.
	stormPeriod = time.Second
)

// Changes paces the fetches of the configuration; it must be used by one goroutine only.
//
// It answers configurations in quick succession. Each is a complete one, and the history of the store has all of them: 25 of 12 KB in
// two seconds fill a link of 2 Mbit/s for more than a second, and that of a store reader, which sends them to thirty followers, for
// several, while statements wait. Only the newest of them counts.
type Changes struct {
	last clock.Moment
}

// Record records that a change has arrived. It returns how long to wait before the next fetch, and whether that should read only the
// newest configuration instead of all since this one.
func (c *Changes) Record(now clock.Moment) (wait time.Duration, newestOnly bool) {
	storm := c.last != 0 && now.Sub(c.last) < stormPeriod
	c.last = now
	if storm {
		return stormPause, true
	}
	return singleChangePause, false
}

package clock

import "time"

// Moment is a point in time, given as the duration since an arbitrary start that is the same for all moments of one clock.
type Moment time.Duration

// Add returns the moment that is later by the duration.
func (m Moment) Add(d time.Duration) Moment { return m + Moment(d) }

// Sub returns the duration from the earlier moment to this one.
func (m Moment) Sub(earlier Moment) time.Duration { return time.Duration(m - earlier) }

// Clock reads the current time; the zero value is not usable.
type Clock struct {
	read func() Moment
}

// Now returns the current moment.
func (c Clock) Now() Moment { return c.read() }

// Until returns the duration from now until the moment; it is negative when the moment has passed.
func (c Clock) Until(m Moment) time.Duration { return m.Sub(c.read()) }

// Since returns the duration from the moment until now.
func (c Clock) Since(m Moment) time.Duration { return c.read().Sub(m) }

// Runtime returns a clock that follows the monotonic time of the Go runtime, which tests can pause and advance. It starts
// at one hour, so that the zero Moment, which callers use for "never", is further in the past than the intervals of seconds that
// they measure from it.
func Runtime() Clock {
	start := time.Now()
	return Clock{read: func() Moment { return Moment(time.Since(start)) + Moment(time.Hour) }}
}

// Manual returns a clock that returns what the function returns, for tests that simulate a suspension of the machine.
func Manual(read func() Moment) Clock { return Clock{read: read} }

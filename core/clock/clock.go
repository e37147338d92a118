package clock

import "time"

// Moment is a time since an arbitrary start that is the same for all moments of one clock.
type Moment time.Duration

// Add returns the moment after the span.
func (m Moment) Add(span time.Duration) Moment { return m + Moment(span) }

// Sub returns the span from the earlier moment to this one.
func (m Moment) Sub(earlier Moment) time.Duration { return time.Duration(m - earlier) }

// Clock reads the present moment; the zero value is not usable.
type Clock struct {
	read func() Moment
}

// Now returns the present moment.
func (c Clock) Now() Moment { return c.read() }

// Until returns the span from now to the moment.
func (c Clock) Until(m Moment) time.Duration { return m.Sub(c.read()) }

// Since returns the span from the moment to now.
func (c Clock) Since(m Moment) time.Duration { return c.read().Sub(m) }

// Runtime returns a clock that follows the runtime's time, which tests pause and advance.
func Runtime() Clock {
	start := time.Now()
	return Clock{read: func() Moment { return Moment(time.Since(start)) + Moment(time.Hour) }}
}

// Manual returns a clock that shows what the function returns, for tests that suspend a machine.
func Manual(read func() Moment) Clock { return Clock{read: read} }

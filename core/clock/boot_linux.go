package clock

import "golang.org/x/sys/unix"

// Boot returns a clock that counts from the start of the machine and includes the time in which it is suspended. It falls back
// to the clock of Runtime for a read that the system refuses.
func Boot() Clock {
	fallback := Runtime()
	return Clock{read: func() Moment {
		var ts unix.Timespec
		if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
			return fallback.read()
		}
		return Moment(ts.Nano())
	}}
}

package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// ProcessorTime returns the processor time that this process has used, zero when the system does not tell.
func ProcessorTime() time.Duration {
	usage := unix.Rusage{}
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

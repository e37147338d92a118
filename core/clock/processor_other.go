//go:build !linux

package clock

import "time"

// ProcessorTime returns zero on systems for which reading it is not implemented.
func ProcessorTime() time.Duration { return 0 }

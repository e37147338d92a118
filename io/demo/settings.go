package demo

import (
	"io"
	"time"
)

// Settings says how long the demo runs and where it reports.
type Settings struct {
	// Duration is how long the load runs.
	Duration time.Duration
	// Seed determines the requests of the load.
	Seed uint64
	// Out receives what happens in words.
	Out io.Writer
}

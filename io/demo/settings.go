package demo

import (
	"io"
	"time"
)

// Settings holds the settings of the demo.
type Settings struct {
	// Duration is the time in which the load starts new requests.
	Duration time.Duration
	// Seed determines the requests of the load.
	Seed uint64
	// Out receives the progress and the results as text.
	Out io.Writer
}

package store

import "sync/atomic"

// Calls counts the calls of a client by kind, and those that failed.
type Calls struct {
	Gets      atomic.Int64
	Puts      atomic.Int64
	Deletes   atomic.Int64
	Lists     atomic.Int64
	Targets   atomic.Int64
	Conflicts atomic.Int64
	// Failures counts calls without a usable answer, garbage included.
	Failures atomic.Int64
	// Malformed counts answers that could not be understood.
	Malformed atomic.Int64
	// OutcomesUnknown counts writes that may have taken effect although no answer came.
	OutcomesUnknown atomic.Int64
}

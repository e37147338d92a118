package store

import "sync/atomic"

// Calls counts the calls of a client, by operation and by how they failed.
type Calls struct {
	Gets    atomic.Int64
	Puts    atomic.Int64
	Deletes atomic.Int64
	Lists   atomic.Int64
	Targets atomic.Int64
	// Conflicts counts writes of a key that did not have the expected revision.
	Conflicts atomic.Int64
	// Failures counts calls without a usable response, including malformed ones.
	Failures atomic.Int64
	// Malformed counts responses that were too long or could not be decoded, or whose content did not match the
	// request.
	Malformed atomic.Int64
	// OutcomesUnknown counts writes that may have taken effect although there was no usable response.
	OutcomesUnknown atomic.Int64
}

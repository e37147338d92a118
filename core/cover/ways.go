package cover

import (
	"sync"
	"time"
)

// Way is a way on which a call reaches the store.
type Way int

const (
	// Direct is a call of this instance itself.
	Direct Way = iota + 1
	// Relayed is a call that another instance makes for this one.
	Relayed
)

const (
	// relayFirstPeriod is the time after a failed direct call during which calls are relayed first.
	relayFirstPeriod = 700 * time.Millisecond
	// relayPausePeriod is the time after a failed relayed call during which calls are not relayed. It is shorter than the 1.5 s
	// between two renewals of a lease.
	relayPausePeriod = 1200 * time.Millisecond
)

// Ways decides on which ways a call to the store is tried; it is safe for concurrent use.
//
// It answers two situations that look alike to one instance. A store that refuses only some instances is reached through others
// at once. A store that serves nobody is not: each relayed call then costs two further calls and gains nothing, so that relaying
// pauses after it has failed as well.
type Ways struct {
	mu           sync.Mutex
	directFailed time.Time
	relayFailed  time.Time
}

// Order returns the ways for the next call in the order in which they are tried.
func (w *Ways) Order() []Way {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case time.Since(w.relayFailed) < relayPausePeriod:
		return []Way{Direct}
	case time.Since(w.directFailed) < relayFirstPeriod:
		return []Way{Relayed, Direct}
	default:
		return []Way{Direct, Relayed}
	}
}

// RecordFailure records that a call on the way got no usable answer.
func (w *Ways) RecordFailure(way Way) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if way == Relayed {
		w.relayFailed = time.Now()
		return
	}
	w.directFailed = time.Now()
}

package cover

import (
	"sync"
	"time"

	"turmericpulley/core/clock"
)

// MaxAge is the age up to which evidence covers an instance. A change must be in force within 3 s of its acknowledgement;
// the last second is left to an instance that is no longer covered for reading the store itself.
const MaxAge = 2 * time.Second

// Freshness is the latest moment of which it is known that every change acknowledged before it has arrived; it is safe for
// concurrent use.
type Freshness struct {
	clock clock.Clock

	mu    sync.Mutex
	known bool
	asOf  clock.Moment
}

// New returns evidence of an instance that has heard nothing yet.
func New(c clock.Clock) *Freshness { return &Freshness{clock: c} }

// RecordRead notes a complete reading of the store that was sent at the moment.
func (e *Freshness) RecordRead(sent clock.Moment) { e.record(sent) }

// RecordWatch notes the answer of a watch that was sent at the moment. One that waited to its end without a change shows that
// the store had none until then; one that brought changes may be as old as its sending.
func (e *Freshness) RecordWatch(sent clock.Moment, wait time.Duration, changes int) {
	if changes == 0 && e.clock.Since(sent) >= wait {
		sent = sent.Add(wait)
	}
	e.record(sent)
}

// RecordPeer notes the answer of another instance, whose evidence was of the age after it had held the question for the span.
// What the answer took on its way counts as age.
func (e *Freshness) RecordPeer(sent clock.Moment, held, age time.Duration) {
	e.record(sent.Add(held - age))
}

func (e *Freshness) record(at clock.Moment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known || at > e.asOf {
		e.known, e.asOf = true, at
	}
}

// Age returns how old the evidence is; false when there is none.
func (e *Freshness) Age() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock.Since(e.asOf), e.known
}

// Remaining returns for how long the evidence still covers the instance; zero when it does not.
func (e *Freshness) Remaining() time.Duration {
	age, known := e.Age()
	if !known {
		return 0
	}
	return max(0, MaxAge-age)
}

package cover

import (
	"sync"
	"time"

	"turmericpulley/core/clock"
)

// MaxAge is the age up to which the configuration of an instance is fresh. A change must be in force within 3 s of its
// acknowledgement; an instance that is no longer fresh has the last second of these to read the store itself.
const MaxAge = 2 * time.Second

// Freshness records the latest time for which it is known that every change acknowledged before it has arrived at this
// instance; it is safe for concurrent use.
type Freshness struct {
	clock clock.Clock
	// maxAge is the age up to which the configuration is fresh.
	maxAge time.Duration

	mu sync.Mutex
	// known is false until asOf has its first value.
	known bool
	asOf  clock.Moment
}

// New returns the freshness, up to the age, of an instance that has read and received nothing yet.
func New(c clock.Clock, maxAge time.Duration) *Freshness { return &Freshness{clock: c, maxAge: maxAge} }

// RecordRead records a complete read of the store that was sent at the given time.
func (f *Freshness) RecordRead(sent clock.Moment) { f.record(sent) }

// RecordWatch records the answer to a watch of the store that was sent at the given time. A watch that waited for its whole
// wait without a change shows that the store had none until then. Any other answer may be as old as the sending of the watch.
func (f *Freshness) RecordWatch(sent clock.Moment, wait time.Duration, changes int) {
	if changes == 0 && f.clock.Since(sent) >= wait {
		sent = sent.Add(wait)
	}
	f.record(sent)
}

// RecordPeer records the answer of another instance to a request that was sent at the given time. The other instance held
// the request for the duration held, and its own configuration then had the given age. The time that the messages took on
// the network counts as age.
func (f *Freshness) RecordPeer(sent clock.Moment, held, age time.Duration) {
	f.record(HandedOn(sent, held, age))
}

// HandedOn returns a moment that is no later than the sending of a read of the store that another instance handed on: in the answer
// to a request that was sent here at the given moment and that the other instance held for the duration held. Its read had the given
// age when it answered. Time that the answer was on its way, or that either machine was suspended, counts as age.
func HandedOn(sent clock.Moment, held, age time.Duration) clock.Moment { return sent.Add(held - age) }

// record keeps the latest time.
func (f *Freshness) record(at clock.Moment) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known || at > f.asOf {
		f.known, f.asOf = true, at
	}
}

// Age returns the age of the configuration; false when nothing was recorded yet.
func (f *Freshness) Age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Since(f.asOf), f.known
}

// AsOf returns the latest time for which all changes are known; false when nothing was recorded yet.
func (f *Freshness) AsOf() (clock.Moment, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asOf, f.known
}

// Remaining returns for how long the configuration is still fresh; zero when it is not.
func (f *Freshness) Remaining() time.Duration {
	age, known := f.Age()
	if !known {
		return 0
	}
	return max(0, f.maxAge-age)
}

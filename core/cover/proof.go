package cover

import (
	"sync"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/routes"
)

const (
	// proofMargin is the part of the limit that is left for clocks that run at different speeds: a twentieth.
	proofMargin = 20
	// proofReadShare is the part of the limit after which an instance reads the store itself, so that a reader that has lost the store
	// delays nobody until the proof has lapsed.
	proofReadShare = 0.8
)

// Proof shows that every key that is still in force here was not withdrawn longer ago than a limit. Only the sending of a complete,
// linearizable read counts, this instance's own or one that another handed on with its age: a watch that was silent proves nothing, because
// a store may fail to report changes to it. The clock counts suspensions, so that a machine that was frozen knows that its proof is old.
//
// A read proves nothing either when it showed an older configuration than one that is known: the store was then restored from a copy, and
// what it has lost may have withdrawn keys.
type Proof struct {
	limit     time.Duration
	freshness *Freshness

	mu sync.Mutex
	// newest is the newest version of the configuration that this instance, or one that it has heard of, has had in force.
	newest routes.Version
}

// NewProof returns a proof for keys that must not be used for longer than the limit after their withdrawal; zero needs no proof.
func NewProof(c clock.Clock, limit time.Duration) *Proof {
	return &Proof{limit: limit, freshness: New(c, limit-limit/proofMargin)}
}

// Needed reports whether there is a limit.
func (p *Proof) Needed() bool { return p.limit > 0 }

// Notice records that an instance has, or had, the version of the configuration in force.
func (p *Proof) Notice(version routes.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.newest = max(p.newest, version)
}

// RecordRead records a complete read of the store that was sent at the given time and showed the version, zero when it showed none.
func (p *Proof) RecordRead(sent clock.Moment, version routes.Version) {
	if p.isNewest(version) {
		p.freshness.RecordRead(sent)
	}
}

// RecordPeer records what another instance, with the version, handed on: see Freshness.RecordPeer.
func (p *Proof) RecordPeer(sent clock.Moment, held, age time.Duration, version routes.Version) {
	if p.isNewest(version) {
		p.freshness.RecordPeer(sent, held, age)
	}
}

func (p *Proof) isNewest(version routes.Version) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return version >= p.newest
}

// Newest returns the newest version of the configuration that an instance is known to have had in force.
func (p *Proof) Newest() routes.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newest
}

// Age returns the age of the read; false when there was none.
func (p *Proof) Age() (time.Duration, bool) { return p.freshness.Age() }

// AsOf returns the moment at which the read was sent; false when there was none.
func (p *Proof) AsOf() (clock.Moment, bool) { return p.freshness.AsOf() }

// Holds reports whether requests with a key may run.
func (p *Proof) Holds() bool { return !p.Needed() || p.freshness.Remaining() > 0 }

// ReadDue reports whether the instance should read the store itself.
func (p *Proof) ReadDue() bool {
	age, known := p.Age()
	return p.Needed() && (!known || age > time.Duration(proofReadShare*float64(p.limit)))
}

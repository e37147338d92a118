package cover

import (
	"slices"
	"sync"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/routes"
)

// Backlog records since when an instance has known that other instances have a newer configuration than its own; it is safe for
// concurrent use. Unlike Freshness, which says what may be missing, it says what is missing.
type Backlog struct {
	clock clock.Clock

	mu sync.Mutex
	// reached is the newest version that this instance has had in force.
	reached routes.Version
	// missing are the newer versions that others have, in order, with the moments at which this instance first heard of them.
	missing []heardVersion
}

// heardVersion is a version with the moment at which an instance first heard of it.
type heardVersion struct {
	version routes.Version
	at      clock.Moment
}

// maxMissing bounds the versions that are kept; further ones are heard of again once these have arrived.
const maxMissing = 64

// NewBacklog returns the backlog of an instance that has and has heard of no configuration.
func NewBacklog(c clock.Clock) *Backlog { return &Backlog{clock: c} }

// Hear records that another instance has the version.
func (b *Backlog) Hear(version routes.Version) {
	b.mu.Lock()
	defer b.mu.Unlock()
	newest := b.reached
	if count := len(b.missing); count > 0 {
		newest = b.missing[count-1].version
	}
	if version > newest && len(b.missing) < maxMissing {
		b.missing = append(b.missing, heardVersion{version, b.clock.Now()})
	}
}

// Reach records that this instance has the version in force, and returns for how long it had known of a newer one than before.
func (b *Backlog) Reach(version routes.Version) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	lasted := b.lasted()
	b.reached = max(b.reached, version)
	b.missing = slices.DeleteFunc(b.missing, func(h heardVersion) bool { return h.version <= b.reached })
	return lasted
}

// Lasts returns for how long this instance has known of a newer configuration than its own; zero when it knows of none. In a storm that is
// how late it is, not how long the storm goes on.
func (b *Backlog) Lasts() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lasted()
}

// lasted is Lasts for a caller that holds the lock.
func (b *Backlog) lasted() time.Duration {
	if len(b.missing) == 0 {
		return 0
	}
	return b.clock.Since(b.missing[0].at)
}

package hold

import (
	"sync"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

const (
	// Duration is how long the owner may work after a read of the store that showed its ownership. It bridges outages
	// of the store of several seconds; a promotion by a successor that cannot reach the owner waits as long.
	Duration = 10 * time.Second
	// DeputyDuration is how long a deputy may work after a read of the store that showed its name. It bridges the outages
	// of the store that are usual; an owner that does not reach its deputy waits as long before a promotion.
	DeputyDuration = 5 * time.Second
	// margin ends the owner's work before a successor's wait ends, for clocks that differ in speed.
	margin = 200 * time.Millisecond
)

// Authority is the right of this instance to work for a database; it is safe for concurrent use.
type Authority struct {
	clock clock.Clock

	mu      sync.Mutex
	epoch   types.Epoch
	until   clock.Moment
	revoked bool
}

// NewAuthority returns a right that began with a call of the store, sent at the moment, at the epoch.
func NewAuthority(c clock.Clock, epoch types.Epoch, sent clock.Moment) *Authority {
	return &Authority{clock: c, epoch: epoch, until: sent.Add(Duration - margin)}
}

// NewDeputyAuthority returns the shorter right of a deputy, which becomes an owner's with its first confirmation.
func NewDeputyAuthority(c clock.Clock, epoch types.Epoch, sent clock.Moment) *Authority {
	return &Authority{clock: c, epoch: epoch, until: sent.Add(DeputyDuration - margin)}
}

// Confirm extends the right by a read of the store, sent at the moment, that showed the owner at the epoch.
func (a *Authority) Confirm(epoch types.Epoch, sent clock.Moment) { a.extend(epoch, sent, Duration) }

// Nominate extends a deputy's right by a read of the store, sent at the moment, that still showed its name at the epoch.
func (a *Authority) Nominate(epoch types.Epoch, sent clock.Moment) {
	a.extend(epoch, sent, DeputyDuration)
}

func (a *Authority) extend(epoch types.Epoch, sent clock.Moment, span time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if epoch < a.epoch || a.revoked {
		return
	}
	a.epoch = epoch
	if until := sent.Add(span - margin); until > a.until {
		a.until = until
	}
}

// Revoke ends the right for good.
func (a *Authority) Revoke() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revoked = true
}

// Valid reports whether the instance may work now.
func (a *Authority) Valid() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.revoked && a.clock.Now() < a.until
}

// Epoch returns the newest epoch.
func (a *Authority) Epoch() types.Epoch {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.epoch
}

// Left returns how long the right lasts without another confirmation.
func (a *Authority) Left() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.revoked {
		return 0
	}
	return max(0, a.clock.Until(a.until))
}

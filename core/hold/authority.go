package hold

import (
	"sync"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

const (
	// LeaseDuration is how long the owner may work after a read of the store that showed its ownership. It bridges outages
	// of the store of several seconds; a promotion by a successor that cannot reach the owner waits as long.
	LeaseDuration = 10 * time.Second
	// StandbyLeaseDuration is how long a deputy may work after a read of the store that showed its name. It bridges the outages
	// of the store that are usual; an owner that does not reach its deputy waits as long before a promotion.
	StandbyLeaseDuration = 5 * time.Second
	// clockDriftMargin ends the owner's work before a successor's wait ends, for clocks that differ in speed.
	clockDriftMargin = 200 * time.Millisecond
)

// Lease is the right of this instance to work for a database; it is safe for concurrent use.
type Lease struct {
	clock clock.Clock

	mu        sync.Mutex
	epoch     types.Epoch
	expiresAt clock.Moment
	revoked   bool
}

// NewLease returns a right that began with a call of the store, sent at the moment, at the epoch.
func NewLease(c clock.Clock, epoch types.Epoch, sent clock.Moment) *Lease {
	return &Lease{clock: c, epoch: epoch, expiresAt: sent.Add(LeaseDuration - clockDriftMargin)}
}

// NewStandbyLease returns the shorter right of a deputy, which becomes an owner's with its first confirmation.
func NewStandbyLease(c clock.Clock, epoch types.Epoch, sent clock.Moment) *Lease {
	return &Lease{clock: c, epoch: epoch, expiresAt: sent.Add(StandbyLeaseDuration - clockDriftMargin)}
}

// Renew extends the right by a read of the store, sent at the moment, that showed the owner at the epoch.
func (a *Lease) Renew(epoch types.Epoch, sent clock.Moment) { a.extend(epoch, sent, LeaseDuration) }

// RenewStandby extends a deputy's right by a read of the store, sent at the moment, that still showed its name at the epoch.
func (a *Lease) RenewStandby(epoch types.Epoch, sent clock.Moment) {
	a.extend(epoch, sent, StandbyLeaseDuration)
}

func (a *Lease) extend(epoch types.Epoch, sent clock.Moment, span time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if epoch < a.epoch || a.revoked {
		return
	}
	a.epoch = epoch
	if until := sent.Add(span - clockDriftMargin); until > a.expiresAt {
		a.expiresAt = until
	}
}

// Revoke ends the right for good.
func (a *Lease) Revoke() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revoked = true
}

// Valid reports whether the instance may work now.
func (a *Lease) Valid() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.revoked && a.clock.Now() < a.expiresAt
}

// Epoch returns the newest epoch.
func (a *Lease) Epoch() types.Epoch {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.epoch
}

// Remaining returns how long the right lasts without another confirmation.
func (a *Lease) Remaining() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.revoked {
		return 0
	}
	return max(0, a.clock.Until(a.expiresAt))
}

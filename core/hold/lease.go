package hold

import (
	"sync"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

const (
	// LeaseDuration is how long the owner may work after it sent a read of the store that showed its ownership. It bridges
	// outages of the store of several seconds. A new owner that cannot reach the old one waits as long before a promotion.
	LeaseDuration = 10 * time.Second
	// StandbyLeaseDuration is how long a standby owner may work after it sent a read of the store that showed it as the
	// standby. It bridges the usual outages of the store. An owner that cannot reach its standby waits as long before a
	// promotion.
	StandbyLeaseDuration = 5 * time.Second
	// clockDriftMargin ends the lease of an owner before the wait of a new owner ends, although the clocks of the two
	// machines run at different speeds.
	clockDriftMargin = 200 * time.Millisecond
)

// Lease is the right of this instance to work for a database for a limited time; it is safe for concurrent use.
type Lease struct {
	clock clock.Clock

	mu        sync.Mutex
	epoch     types.Epoch
	expiresAt clock.Moment
	revoked   bool
}

// NewLease returns the lease of an owner at the epoch; it lasts for LeaseDuration less clockDriftMargin, counted from the
// sending of the call to the store that began the ownership.
func NewLease(c clock.Clock, epoch types.Epoch, sent clock.Moment) *Lease {
	return &Lease{clock: c, epoch: epoch, expiresAt: sent.Add(LeaseDuration - clockDriftMargin)}
}

// NewStandbyLease returns the shorter lease of a standby, counted from the sending of the read of the store that showed it as
// the standby; the first call of Renew turns it into the lease of an owner.
func NewStandbyLease(c clock.Clock, epoch types.Epoch, sent clock.Moment) *Lease {
	return &Lease{clock: c, epoch: epoch, expiresAt: sent.Add(StandbyLeaseDuration - clockDriftMargin)}
}

// Renew extends the lease after a read of the store, sent at the given time, that showed this instance as the owner at the
// epoch.
func (l *Lease) Renew(epoch types.Epoch, sent clock.Moment) { l.extend(epoch, sent, LeaseDuration) }

// RenewStandby extends the lease of a standby after a read of the store, sent at the given time, that still showed this
// instance as the standby at the epoch.
func (l *Lease) RenewStandby(epoch types.Epoch, sent clock.Moment) {
	l.extend(epoch, sent, StandbyLeaseDuration)
}

// extend ignores an older epoch, and never shortens the lease.
func (l *Lease) extend(epoch types.Epoch, sent clock.Moment, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if epoch < l.epoch || l.revoked {
		return
	}
	l.epoch = epoch
	if until := sent.Add(duration - clockDriftMargin); until > l.expiresAt {
		l.expiresAt = until
	}
}

// Revoke ends the lease; it cannot be renewed afterwards.
func (l *Lease) Revoke() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revoked = true
}

// Valid reports whether the instance may work now.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.revoked && l.clock.Now() < l.expiresAt
}

// Epoch returns the newest epoch of the ownership that this instance knows.
func (l *Lease) Epoch() types.Epoch {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch
}

// Remaining returns how long the lease lasts unless it is renewed.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.revoked {
		return 0
	}
	return max(0, l.clock.Until(l.expiresAt))
}

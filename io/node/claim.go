package node

import (
	"context"
	"time"

	"turmericpulley/core/hold"
	"turmericpulley/core/pause"
	"turmericpulley/core/routes"
	"turmericpulley/core/types"
)

// claimIfOwnerless claims a database that has no living owner once it is this instance's turn. Candidates claim in the order
// of their ranks, claimRankDelay apart. The standby of a dead owner acts at once, before it claims.
func (m *ownershipManager) claimIfOwnerless(ctx context.Context, database routes.Database, record ownerRecord, known bool) {
	if m.isLeaving() {
		return
	}
	rank := m.node.directory.rank(database.ID, record.Instance)
	isStandby := known && record.HasStandby(m.node.settings.Self)
	if isStandby || known && record.Instance == m.node.settings.Self.ID {
		// The standby and a restarted owner need not wait for other candidates.
		rank = 0
	}
	// An instance that the lost record of a restored store names as the owner, but that had not started to serve, claims the database.
	isLostOwner := known && record.lost && record.IsOwnedBy(m.node.settings.Self)
	if known && !isLostOwner && !m.detector.isDead(record.Owner, record.revision, m.monitorRank(database.ID, rank)) {
		m.mu.Lock()
		delete(m.ownerlessSince, database.ID)
		m.mu.Unlock()
		return
	}
	if isStandby {
		if m.actAsStandby(database, record); m.get(database.ID) != nil {
			return
		}
	}
	now := m.node.settings.Clock.Now()
	m.mu.Lock()
	since, recorded := m.ownerlessSince[database.ID]
	if !recorded {
		since = now
		m.ownerlessSince[database.ID] = now
	}
	m.mu.Unlock()
	if rank > 0 || !m.formerlyHere(record, isStandby) {
		// An instance that owns databases leaves others a start, so that those of several dead owners do not all come to one.
		rank += m.ownedCount()
	}
	if now.Sub(since) < time.Duration(rank)*claimRankDelay {
		return
	}
	if !m.claim(ctx, database, record) {
		m.mu.Lock()
		m.ownerlessSince[database.ID] = now.Add(claimRetryDelay)
		m.mu.Unlock()
	}
}

// formerlyHere reports whether the record names this machine as the owner or as the standby: it claims at once.
func (m *ownershipManager) formerlyHere(record ownerRecord, isStandby bool) bool {
	return isStandby || record.Instance == m.node.settings.Self.ID
}

// monitorRank returns the rank by which this instance decides whether it monitors the database's owner. When its own callers have
// not reached an owner for longer than a takeover takes, the first candidates are cut off too, and later ones step in.
func (m *ownershipManager) monitorRank(database types.DatabaseID, rank int) int {
	if rank < maxMonitorsInOutage && m.node.owners.Unreached(database) {
		return 0
	}
	return rank
}

// claimTimeout bounds the write of a claim. A store that is sixty times slower than usual answers within it. When the answer is
// lost, the record shows whether the write took effect, so that there is no reason to wait for longer.
const claimTimeout = 400 * time.Millisecond

// claim writes a record that names this instance as the owner. When the write fails, it reads the record again, since another
// instance may have been first, or the write may have taken effect without an answer; the record then names this instance, which
// adopts the database. It reports whether the store answered the write or this read.
func (m *ownershipManager) claim(ctx context.Context, database routes.Database, record ownerRecord) bool {
	n := m.node
	if era, _ := n.eras.current(); record.Instance == "" && n.eras.restoredWithin(hold.LeaseDuration) {
		// The restored store may have lost a record.
		record.FormerEra = era - 1
	}
	next := record.handedTo(n.settings.Self)
	owned := m.newOwnership(database, next)
	sent := n.settings.Clock.Now()
	writeCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := owned.writeRecord(writeCtx, next, sent); err != nil {
		n.logger.Info("database not claimed", "database", database.ID, "error", err)
		return m.rereadRecord(ctx, database.ID)
	}
	n.logger.Info("database claimed", "database", database.ID, "epoch", owned.lease.Epoch(), "before", record.Instance)
	m.start(database, owned)
	return true
}

// adopt starts serving a database whose record names this instance, as after a handover or a claim whose answer was lost.
func (m *ownershipManager) adopt(ctx context.Context, database routes.Database) {
	n := m.node
	sent := n.settings.Clock.Now()
	item, found, err := n.store.Get(ctx, ownerKey(database.ID))
	if err != nil || !found {
		n.logger.Warn("owner record not read", "database", database.ID, "error", err)
		return
	}
	record, err := hold.Decode(item.Value)
	n.directory.apply(item)
	if err != nil || !record.IsOwnedBy(n.settings.Self) {
		return
	}
	next := ownerRecord{Record: record, revision: item.Revision}
	owned := m.newOwnership(database, next)
	owned.renew(next, sent)
	n.logger.Info("database taken over", "database", database.ID, "epoch", owned.lease.Epoch())
	m.start(database, owned)
}

// restoreRecord writes the owner record again after the store has dropped it, or has been restored from a copy that holds an older one
// at the revision.
func (m *ownershipManager) restoreRecord(ctx context.Context, owned *ownership, revision types.Revision) {
	n := m.node
	n.logger.Warn("owner record is missing from the store, writing it again", "database", owned.database, "instead", uint64(revision))
	next := owned.current()
	next.revision = revision
	if err := owned.writeRecord(ctx, next, n.settings.Clock.Now()); err != nil {
		n.logger.Warn("owner record not written", "database", owned.database, "error", err)
		m.rereadRecord(ctx, owned.database)
		pause.For(ctx, reconcileInterval)
	}
}

// completeRecord writes the record once owners of an earlier era, which it may lack, cannot work for the database any more. An owner that
// starts later then need not wait for them.
func (m *ownershipManager) completeRecord(ctx context.Context, owned *ownership) {
	n := m.node
	record := owned.current()
	era, _ := n.eras.current()
	if !record.LacksFormer(era) || n.eras.age() <= hold.LeaseDuration {
		return
	}
	if err := owned.writeRecord(ctx, record, n.settings.Clock.Now()); err != nil {
		n.logger.Warn("owner record not written", "database", owned.database, "error", err)
		m.rereadRecord(ctx, owned.database)
		pause.For(ctx, reconcileInterval)
	}
}

package node

import (
	"context"
	"time"

	"turmericpulley/core/hold"
	"turmericpulley/core/pause"
	"turmericpulley/core/routes"
)

// claimIfOwnerless claims a database that has no living owner when it is this instance's turn.
func (h *ownershipManager) claimIfOwnerless(ctx context.Context, database routes.Database, record ownerRecord, known bool) {
	if h.isLeaving() {
		return
	}
	rank := h.node.directory.rank(database.ID, record.Instance)
	deputy := known && record.HasStandby(h.node.settings.Self)
	if deputy || known && record.Instance == h.node.settings.Self.ID {
		// The deputy, and the next run of the owner itself, need not wait for others.
		rank = 0
	}
	if known && !h.detector.isDead(record.Owner, rank) {
		h.mu.Lock()
		delete(h.ownerlessSince, database.ID)
		h.mu.Unlock()
		return
	}
	if deputy {
		if h.actAsStandby(database, record); h.get(database.ID) != nil {
			return
		}
	}
	now := h.node.settings.Clock.Now()
	h.mu.Lock()
	since, noted := h.ownerlessSince[database.ID]
	if !noted {
		since = now
		h.ownerlessSince[database.ID] = now
	}
	h.mu.Unlock()
	if now.Sub(since) < time.Duration(rank)*claimRankDelay {
		return
	}
	if !h.claim(ctx, database, record) {
		h.mu.Lock()
		h.ownerlessSince[database.ID] = now.Add(claimRetryDelay)
		h.mu.Unlock()
	}
}

// claim writes a record that names this instance, and reports whether the store took it or another instance was first.
func (h *ownershipManager) claim(ctx context.Context, database routes.Database, record ownerRecord) bool {
	n := h.node
	next := record.handedTo(n.settings.Self)
	taken := h.newOwnership(database, next)
	sent := n.settings.Clock.Now()
	if err := taken.writeRecord(ctx, next, sent); err != nil {
		n.logger.Info("database not claimed", "database", database.ID, "error", err)
		return h.rereadRecord(ctx, database.ID)
	}
	n.logger.Info("database claimed", "database", database.ID, "epoch", taken.lease.Epoch(), "before", record.Instance)
	h.start(database, taken)
	return true
}

// adopt starts a database whose record names this instance, as after a handover or a claim whose answer was lost.
func (h *ownershipManager) adopt(ctx context.Context, database routes.Database) {
	n := h.node
	sent := n.settings.Clock.Now()
	i, found, err := n.store.Get(ctx, ownerKey(database.ID))
	if err != nil || !found {
		n.logger.Warn("ownership not confirmed", "database", database.ID, "error", err)
		return
	}
	record, err := hold.Decode(i.Value)
	n.directory.apply(i)
	if err != nil || !record.IsOwnedBy(n.settings.Self) {
		return
	}
	next := ownerRecord{record, i.Revision}
	taken := h.newOwnership(database, next)
	taken.renew(next, sent)
	n.logger.Info("database taken over", "database", database.ID, "epoch", taken.lease.Epoch())
	h.start(database, taken)
}

// restoreRecord writes the record again when the store has dropped it.
func (h *ownershipManager) restoreRecord(ctx context.Context, held *ownership) {
	n := h.node
	n.logger.Warn("record of the owner is gone, writing it again", "database", held.database)
	next := held.current()
	next.revision = 0
	if err := held.writeRecord(ctx, next, n.settings.Clock.Now()); err != nil {
		n.logger.Warn("record of the owner not written", "database", held.database, "error", err)
		h.rereadRecord(ctx, held.database)
		pause.For(ctx, reconcileInterval)
	}
}

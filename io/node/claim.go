package node

import (
	"context"
	"time"

	"turmericpulley/core/hold"
	"turmericpulley/core/pause"
	"turmericpulley/core/routes"
)

// consider claims a database that has no living owner when it is this instance's turn.
func (h *holder) consider(ctx context.Context, database routes.Database, record owned, known bool) {
	if h.isLeaving() {
		return
	}
	rank := h.node.roster.place(database.ID, record.Instance)
	deputy := known && record.HasDeputy(h.node.settings.Self)
	if deputy || known && record.Instance == h.node.settings.Self.ID {
		// The deputy, and the next run of the owner itself, need not wait for others.
		rank = 0
	}
	if known && !h.watches.dead(record.Holder, rank) {
		h.mu.Lock()
		delete(h.unowned, database.ID)
		h.mu.Unlock()
		return
	}
	if deputy {
		if h.act(database, record); h.get(database.ID) != nil {
			return
		}
	}
	now := h.node.settings.Clock.Now()
	h.mu.Lock()
	since, noted := h.unowned[database.ID]
	if !noted {
		since = now
		h.unowned[database.ID] = now
	}
	h.mu.Unlock()
	if now.Sub(since) < time.Duration(rank)*claimStep {
		return
	}
	if !h.claim(ctx, database, record) {
		h.mu.Lock()
		h.unowned[database.ID] = now.Add(claimPause)
		h.mu.Unlock()
	}
}

// claim writes a record that names this instance, and reports whether the store took it or another instance was first.
func (h *holder) claim(ctx context.Context, database routes.Database, record owned) bool {
	n := h.node
	next := record.handedTo(n.settings.Self)
	taken := h.prepare(database, next)
	sent := n.settings.Clock.Now()
	if err := taken.write(ctx, next, sent); err != nil {
		n.logger.Info("database not claimed", "database", database.ID, "error", err)
		return h.reread(ctx, database.ID)
	}
	n.logger.Info("database claimed", "database", database.ID, "epoch", taken.authority.Epoch(), "before", record.Instance)
	h.start(database, taken)
	return true
}

// adopt starts a database whose record names this instance, as after a handover or a claim whose answer was lost.
func (h *holder) adopt(ctx context.Context, database routes.Database) {
	n := h.node
	sent := n.settings.Clock.Now()
	i, found, err := n.store.Get(ctx, ownerKey(database.ID))
	if err != nil || !found {
		n.logger.Warn("ownership not confirmed", "database", database.ID, "error", err)
		return
	}
	record, err := hold.Decode(i.Value)
	n.roster.take(i)
	if err != nil || !record.IsOf(n.settings.Self) {
		return
	}
	next := owned{record, i.Revision}
	taken := h.prepare(database, next)
	taken.confirm(next, sent)
	n.logger.Info("database taken over", "database", database.ID, "epoch", taken.authority.Epoch())
	h.start(database, taken)
}

// restore writes the record again when the store has dropped it.
func (h *holder) restore(ctx context.Context, held *holding) {
	n := h.node
	n.logger.Warn("record of the owner is gone, writing it again", "database", held.database)
	next := held.current()
	next.revision = 0
	if err := held.write(ctx, next, n.settings.Clock.Now()); err != nil {
		n.logger.Warn("record of the owner not written", "database", held.database, "error", err)
		h.reread(ctx, held.database)
		pause.For(ctx, holderInterval)
	}
}

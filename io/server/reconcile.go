package server

import (
	"context"
	"time"

	"turmericpulley/core/policy"
	"turmericpulley/core/quorum"
	"turmericpulley/core/types"
)

// reconcileOnChange takes and releases databases whenever the instances or the documents change.
func (m *owners) reconcileOnChange(ctx context.Context, changes <-chan struct{}) {
	ticker := time.NewTicker(reconcilePeriod)
	defer ticker.Stop()
	var r relevant
	for {
		m.reconcile(ctx, &r)
		select {
		case <-ctx.Done():
			return
		case <-changes:
		case <-ticker.C:
		}
	}
}

func (m *owners) reconcile(ctx context.Context, r *relevant) {
	book := m.network.Book()
	for _, id := range m.heldDatabases() {
		group, database, ok := book.Database(id)
		if !ok || !m.ownedHere(group) || m.changed(id, group, database) {
			m.duties.Go(func() { m.release(ctx, id) })
		}
	}
	r.refresh(m)
	for _, id := range r.databases {
		if group, database, ok := book.Database(id); ok {
			m.reconcileDatabase(ctx, group, database, m.entitler.decideRanked(id, r.members, r.ranked[id]))
		}
	}
	for _, id := range m.heldDatabases() {
		if _, ok := r.ranked[id]; ok {
			continue
		}
		if group, database, ok := book.Database(id); ok {
			m.reconcileDatabase(ctx, group, database, m.entitler.decide(database))
		}
	}
}

func (m *owners) reconcileDatabase(ctx context.Context, group policy.Group, database policy.Database, x entitlement) {
	h := m.holding(database.Database)
	switch {
	case h == nil && x.expected == m.self:
		m.take(group, database, x)
	case h != nil && x.expected != m.self && m.outdated(h, x):
		m.duties.Go(func() { m.release(ctx, database.Database) })
	}
}

// changed reports whether a database is held by an older description of it.
func (m *owners) changed(id types.DatabaseID, group policy.Group, database policy.Database) bool {
	h := m.holding(id)
	if h == nil {
		return false
	}
	o := h.started()
	return o != nil && !o.Describes(group, database)
}

// outdated reports whether a database is held under an older membership than the present one.
func (m *owners) outdated(h *holding, x entitlement) bool {
	o := h.started()
	return o != nil && x.expected != "" && quorum.EpochRevision(o.Epoch()) < x.revision
}

package server

import (
	"context"
	"time"

	"turmericpulley/core/policy"
	"turmericpulley/core/quorum"
	"turmericpulley/core/types"
)

// runReconcile takes and releases databases whenever the instances or the documents change.
func (m *ownershipManager) runReconcile(ctx context.Context, changes <-chan struct{}) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	var r candidateDatabases
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

func (m *ownershipManager) reconcile(ctx context.Context, r *candidateDatabases) {
	book := m.network.Documents()
	for _, id := range m.ownedDatabases() {
		group, database, ok := book.Database(id)
		if !ok || !m.inOwnRegion(group) || m.hasOutdatedSettings(id, group, database) {
			m.goroutines.Go(func() { m.release(ctx, id) })
		}
	}
	r.refresh(m)
	for _, id := range r.databases {
		if group, database, ok := book.Database(id); ok {
			m.reconcileDatabase(ctx, group, database, m.selector.selectRanked(id, r.membershipRevision, r.ranked[id]))
		}
	}
	for _, id := range m.ownedDatabases() {
		if _, ok := r.ranked[id]; ok {
			continue
		}
		if group, database, ok := book.Database(id); ok {
			m.reconcileDatabase(ctx, group, database, m.selector.selectOwner(database))
		}
	}
}

func (m *ownershipManager) reconcileDatabase(ctx context.Context, group policy.Group, database policy.Database, x expectedOwner) {
	h := m.ownership(database.Database)
	switch {
	case h == nil && x.instance == m.self:
		m.takeOver(group, database, x)
	case h != nil && x.instance != m.self && m.hasOutdatedMembership(h, x):
		m.goroutines.Go(func() { m.release(ctx, database.Database) })
	}
}

// hasOutdatedSettings reports whether a database is held by an older description of it.
func (m *ownershipManager) hasOutdatedSettings(id types.DatabaseID, group policy.Group, database policy.Database) bool {
	h := m.ownership(id)
	if h == nil {
		return false
	}
	o := h.ownerIfReady()
	return o != nil && !o.Matches(group, database)
}

// hasOutdatedMembership reports whether a database is held under an older membership than the present one.
func (m *ownershipManager) hasOutdatedMembership(h *ownership, x expectedOwner) bool {
	o := h.ownerIfReady()
	return o != nil && x.instance != "" && quorum.EpochRevision(o.Epoch()) < x.revision
}

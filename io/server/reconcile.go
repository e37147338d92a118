package server

import (
	"context"
	"time"

	"turmericpulley/core/policy"
	"turmericpulley/core/quorum"
	"turmericpulley/core/types"
)

// runReconcile calls reconcile whenever the membership or the documents change, and every reconcileInterval.
func (m *ownershipManager) runReconcile(ctx context.Context, changes <-chan struct{}) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	var candidates candidateDatabases
	for {
		m.reconcile(ctx, &candidates)
		select {
		case <-ctx.Done():
			return
		case <-changes:
		case <-ticker.C:
		}
	}
}

// reconcile takes over the databases that this instance should own and releases those that it should not.
func (m *ownershipManager) reconcile(ctx context.Context, candidates *candidateDatabases) {
	documents := m.network.Documents()
	for _, id := range m.ownedDatabases() {
		group, database, ok := documents.Database(id)
		if !ok || !m.inOwnRegion(group) || m.hasOutdatedSettings(id, group, database) {
			m.goroutines.Go(func() { m.release(ctx, id) })
		}
	}
	candidates.refresh(m)
	for _, id := range candidates.databases {
		if group, database, ok := documents.Database(id); ok {
			m.reconcileDatabase(ctx, group, database, m.selector.selectRanked(id, candidates.membershipRevision, candidates.ranked[id]))
		}
	}
	for _, id := range m.ownedDatabases() {
		if _, ok := candidates.ranked[id]; ok {
			continue
		}
		if group, database, ok := documents.Database(id); ok {
			m.reconcileDatabase(ctx, group, database, m.selector.selectOwner(database))
		}
	}
}

func (m *ownershipManager) reconcileDatabase(ctx context.Context, group policy.Group, database policy.Database, expected expectedOwner) {
	owned := m.ownership(database.Database)
	switch {
	case owned == nil && expected.instance == m.self:
		m.takeOver(group, database, expected)
	case owned != nil && expected.instance != m.self && m.hasOutdatedMembership(owned, expected):
		m.goroutines.Go(func() { m.release(ctx, database.Database) })
	}
}

// hasOutdatedSettings reports whether a database's owner was started with an older version of its group or its members.
func (m *ownershipManager) hasOutdatedSettings(id types.DatabaseID, group policy.Group, database policy.Database) bool {
	owned := m.ownership(id)
	if owned == nil {
		return false
	}
	o := owned.ownerIfReady()
	return o != nil && !o.Matches(group, database)
}

// hasOutdatedMembership reports whether a database was taken over under an older membership than the one by which another
// instance is now expected to own it.
func (m *ownershipManager) hasOutdatedMembership(owned *ownership, expected expectedOwner) bool {
	o := owned.ownerIfReady()
	return o != nil && expected.instance != "" && quorum.EpochRevision(o.Epoch()) < expected.revision
}

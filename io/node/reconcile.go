package node

import (
	"context"
	"slices"
	"time"

	"turmericpulley/core/routes"
)

// run reconciles the ownership of a database when its record changes, and those of all at least every reconcileInterval.
func (m *ownershipManager) run(ctx context.Context) {
	reconcileTicker := time.NewTicker(reconcileInterval)
	defer reconcileTicker.Stop()
	for ctx.Err() == nil {
		changed := m.node.directory.nextChange()
		m.reconcileChanged(ctx)
		select {
		case <-ctx.Done():
		case <-reconcileTicker.C:
			m.reconcileAll(ctx)
		case <-changed:
		}
	}
}

// reconcileChanged brings the ownerships of the databases whose records have changed in line with them.
func (m *ownershipManager) reconcileChanged(ctx context.Context) {
	table, changed := m.node.routes.Table(), m.node.directory.takeUnsettled()
	if table == nil {
		return
	}
	if changed.all {
		m.reconcileAll(ctx)
		return
	}
	for id := range changed.databases {
		if database, known := table.Databases[id]; known {
			m.reconcile(ctx, database)
		}
	}
}

// reconcileAll brings all ownerships in line with the owner records.
func (m *ownershipManager) reconcileAll(ctx context.Context) {
	table := m.node.routes.Table()
	if table == nil {
		return
	}
	concerning := m.node.directory.concerning(table)
	for _, id := range concerning {
		m.reconcile(ctx, table.Databases[id])
	}
	for _, id := range m.databases() {
		if database, known := table.Databases[id]; known && !slices.Contains(concerning, id) {
			m.reconcile(ctx, database)
		}
	}
}

// reconcile brings this instance's ownership of a database in line with the owner record in the directory.
func (m *ownershipManager) reconcile(ctx context.Context, database routes.Database) {
	record, known := m.node.directory.owner(database.ID)
	owned := m.get(database.ID)
	switch {
	case owned != nil:
		m.reconcileOwned(ctx, owned, record, known)
	case known && record.IsOwnedBy(m.node.settings.Self) && !record.lost:
		m.adopt(ctx, database)
	default:
		m.claimIfOwnerless(ctx, database, record, known)
	}
}

// reconcileOwned brings an ownership, or the work as a standby, in line with the owner record.
func (m *ownershipManager) reconcileOwned(ctx context.Context, owned *ownership, record ownerRecord, known bool) {
	switch {
	case known && owned.isSuperseded(record), owned.isActing() && !owned.lease.Valid():
		m.endOwnership(owned, record)
	case owned.isActing():
		if known && record.lost {
			owned.rebase(record.revision)
		}
		m.becomeOwner(ctx, owned)
	case known && record.lost:
		m.restoreRecord(ctx, owned, record.revision)
	default:
		if known && record.IsOwnedBy(m.node.settings.Self) {
			owned.updateRecord(record)
		}
		if !known {
			m.restoreRecord(ctx, owned, 0)
		}
		m.completeRecord(ctx, owned)
		m.relocate(ctx, owned)
		m.designateStandby(ctx, owned)
		m.sendMembers(ctx, owned)
	}
}

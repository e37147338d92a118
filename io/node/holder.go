package node

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/hold"
	"turmericpulley/core/pause"
	"turmericpulley/core/routes"
	"turmericpulley/core/types"
	"turmericpulley/io/group"
)

const (
	// renewInterval is the time between two readings of the owners' records by an owner.
	renewInterval = 1500 * time.Millisecond
	// reconcileInterval is the time between two looks at all databases.
	reconcileInterval = 100 * time.Millisecond
	// claimRankDelay is the time that each rank leaves to the one before it.
	claimRankDelay = 150 * time.Millisecond
	// claimRetryDelay is the time between two claims while the store does not answer.
	claimRetryDelay = 400 * time.Millisecond
)

// ownershipManager decides for each database whether this instance owns it.
type ownershipManager struct {
	node     *Node
	detector *failureDetector

	mu         sync.Mutex
	byDatabase map[types.DatabaseID]*ownership
	// ownerlessSince is since when a database was seen without a living owner.
	ownerlessSince map[types.DatabaseID]clock.Moment
	// members are the last known members of each database.
	members map[types.DatabaseID][]routes.Member
	leaving bool
	// standbyRenewals are the reads that showed this instance as a deputy, membersTold what owners told it of their members,
	// and fencedEpochs the epochs up to which it must not act.
	standbyRenewals map[types.DatabaseID]standbyRenewal
	receivedMembers map[types.DatabaseID][]routes.Member
	fencedEpochs    map[types.DatabaseID]types.Epoch
}

func newOwnershipManager(n *Node) *ownershipManager {
	return &ownershipManager{
		node: n, detector: newFailureDetector(n), byDatabase: map[types.DatabaseID]*ownership{},
		ownerlessSince: map[types.DatabaseID]clock.Moment{}, members: map[types.DatabaseID][]routes.Member{},
		standbyRenewals: map[types.DatabaseID]standbyRenewal{}, receivedMembers: map[types.DatabaseID][]routes.Member{},
		fencedEpochs: map[types.DatabaseID]types.Epoch{},
	}
}

func (h *ownershipManager) run(ctx context.Context) {
	confirm := time.NewTicker(renewInterval)
	defer confirm.Stop()
	look := time.NewTicker(reconcileInterval)
	defer look.Stop()
	for {
		changed := h.node.directory.nextChange()
		h.reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-confirm.C:
			if h.ownsAny() || h.node.directory.isStandby() {
				h.renewLeases(ctx)
			}
		case <-look.C:
		case <-changed:
		}
	}
}

// reconcile brings the holdings in line with what is known of the owners.
func (h *ownershipManager) reconcile(ctx context.Context) {
	table := h.node.routes.Table()
	if table == nil {
		return
	}
	for id, database := range table.Databases {
		record, known := h.node.directory.owner(id)
		held := h.get(id)
		switch {
		case held != nil && known && !record.IsOwnedBy(h.node.settings.Self) && record.revision > held.current().revision:
			h.endOwnership(held, record)
		case held != nil && held.isActing():
			if !held.lease.Valid() {
				h.endOwnership(held, record)
				continue
			}
			h.becomeOwner(ctx, held)
		case held != nil:
			if known && record.IsOwnedBy(h.node.settings.Self) {
				held.updateRecord(record)
			}
			if !known {
				h.restoreRecord(ctx, held)
			}
			h.moveNearPrimary(ctx, held)
			h.designateStandby(ctx, held)
			h.sendMembers(ctx, held)
		case known && record.IsOwnedBy(h.node.settings.Self):
			h.adopt(ctx, database)
		default:
			h.claimIfOwnerless(ctx, database, record, known)
		}
	}
}

// newOwnership returns a holding of the record without any right to work yet.
func (h *ownershipManager) newOwnership(database routes.Database, record ownerRecord) *ownership {
	n := h.node
	return &ownership{
		node: n, database: database.ID, record: record, fenced: map[hold.Owner]bool{},
		standbys: map[hold.Owner]clock.Moment{},
		lease:    hold.NewLease(n.settings.Clock, 0, n.settings.Clock.Now().Add(-hold.LeaseDuration)),
	}
}

// start begins to serve the database.
func (h *ownershipManager) start(database routes.Database, taken *ownership) {
	n := h.node
	taken.acquired = n.settings.Clock.Now()
	taken.group = group.New(group.Settings{
		Database: database.ID, Self: n.settings.Self, MaxConnections: database.MaxConnections,
		SyncReplicas: database.SyncReplicas, Dialer: n.settings.Dialer,
		Promoter: n.settings.Promoter, Ownership: taken, Clock: n.settings.Clock,
		Logger: n.logger, RequestLogger: n.settings.Requests, RefreshMembers: n.memberEntries.refresh,
		Witness:  n.findWitness,
		HandOver: func(ctx context.Context, to types.InstanceID) { h.yield(ctx, taken, to) },
	})
	h.mu.Lock()
	h.byDatabase[database.ID] = taken
	delete(h.ownerlessSince, database.ID)
	if members := h.members[database.ID]; len(members) > 0 {
		taken.group.SetMembers(members)
	}
	h.mu.Unlock()
	n.memberEntries.refresh()
	n.directory.wake()
}

// endOwnership ends the ownership of a database that another instance has claimed; transactions get a moment to end.
func (h *ownershipManager) endOwnership(held *ownership, record ownerRecord) {
	h.node.logger.Info("database lost", "database", held.database, "owner", record.Instance, "revision", record.revision)
	h.mu.Lock()
	delete(h.byDatabase, held.database)
	h.mu.Unlock()
	held.group.Drain()
	h.node.goroutines.Go(func() {
		pause.For(h.node.ctx, drainTimeout)
		held.lease.Revoke()
		held.group.Close()
	})
}

// rereadRecord reads the record of a database and reports whether the store answered.
func (h *ownershipManager) rereadRecord(ctx context.Context, database types.DatabaseID) bool {
	i, found, err := h.node.store.Get(ctx, ownerKey(database))
	if err == nil && found {
		h.node.directory.apply(i)
	}
	return err == nil
}

// renewLeases reads the owners' records and extends the authority over those that name this instance.
func (h *ownershipManager) renewLeases(ctx context.Context) {
	n := h.node
	sent := n.settings.Clock.Now()
	items, revision, err := n.store.Range(ctx, ownersPrefix)
	if err != nil {
		n.logger.Warn("ownership not confirmed", "error", err)
		return
	}
	for _, i := range items {
		n.directory.apply(i)
		database := types.DatabaseID(strings.TrimPrefix(i.Key, ownersPrefix))
		held := h.get(database)
		record, err := hold.Decode(i.Value)
		if err != nil {
			continue
		}
		if held != nil && record.IsOwnedBy(n.settings.Self) {
			held.renew(ownerRecord{record, i.Revision}, sent)
		}
		if record.HasStandby(n.settings.Self) {
			h.renewStandby(database, held, standbyRenewal{types.Epoch(i.Revision), sent})
		}
	}
	n.directory.dropMissing(ownersPrefix, items, revision)
}

// close ends all holdings.
func (h *ownershipManager) close() {
	h.mu.Lock()
	held := h.byDatabase
	h.byDatabase = map[types.DatabaseID]*ownership{}
	h.mu.Unlock()
	for _, one := range held {
		one.lease.Revoke()
		one.group.Close()
	}
	h.detector.close()
}

func (h *ownershipManager) setMembers(byDatabase map[types.DatabaseID][]routes.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, members := range byDatabase {
		slices.SortFunc(members, func(a, b routes.Member) int { return strings.Compare(string(a.Target), string(b.Target)) })
	}
	h.members = byDatabase
	for id, held := range h.byDatabase {
		held.group.SetMembers(byDatabase[id])
	}
}

func (h *ownershipManager) get(database types.DatabaseID) *ownership {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byDatabase[database]
}

func (h *ownershipManager) ownsAny() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.byDatabase) > 0
}

func (h *ownershipManager) isLeaving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaving
}

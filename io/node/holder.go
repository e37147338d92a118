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
	// confirmInterval is the time between two readings of the owners' records by an owner.
	confirmInterval = 1500 * time.Millisecond
	// holderInterval is the time between two looks at all databases.
	holderInterval = 100 * time.Millisecond
	// claimStep is the time that each rank leaves to the one before it.
	claimStep = 150 * time.Millisecond
	// claimPause is the time between two claims while the store does not answer.
	claimPause = 400 * time.Millisecond
)

// holder decides for each database whether this instance owns it.
type holder struct {
	node    *Node
	watches *watches

	mu       sync.Mutex
	holdings map[types.DatabaseID]*holding
	// unowned is since when a database was seen without a living owner.
	unowned map[types.DatabaseID]clock.Moment
	// members are the last known members of each database.
	members map[types.DatabaseID][]routes.Member
	leaving bool
	// nominations are the reads that showed this instance as a deputy, membersTold what owners told it of their members,
	// and fencedEpochs the epochs up to which it must not act.
	nominations  map[types.DatabaseID]nomination
	membersTold  map[types.DatabaseID][]routes.Member
	fencedEpochs map[types.DatabaseID]types.Epoch
}

func newHolder(n *Node) *holder {
	return &holder{
		node: n, watches: newWatches(n), holdings: map[types.DatabaseID]*holding{},
		unowned: map[types.DatabaseID]clock.Moment{}, members: map[types.DatabaseID][]routes.Member{},
		nominations: map[types.DatabaseID]nomination{}, membersTold: map[types.DatabaseID][]routes.Member{},
		fencedEpochs: map[types.DatabaseID]types.Epoch{},
	}
}

func (h *holder) run(ctx context.Context) {
	confirm := time.NewTicker(confirmInterval)
	defer confirm.Stop()
	look := time.NewTicker(holderInterval)
	defer look.Stop()
	for {
		changed := h.node.roster.watch()
		h.look(ctx)
		select {
		case <-ctx.Done():
			return
		case <-confirm.C:
			if h.holdsAny() || h.node.roster.isDeputy() {
				h.confirm(ctx)
			}
		case <-look.C:
		case <-changed:
		}
	}
}

// look brings the holdings in line with what is known of the owners.
func (h *holder) look(ctx context.Context) {
	table := h.node.routes.Table()
	if table == nil {
		return
	}
	for id, database := range table.Databases {
		record, known := h.node.roster.owner(id)
		held := h.get(id)
		switch {
		case held != nil && known && !record.IsOf(h.node.settings.Self) && record.revision > held.current().revision:
			h.lose(held, record)
		case held != nil && held.isActing():
			if !held.authority.Valid() {
				h.lose(held, record)
				continue
			}
			h.succeed(ctx, held)
		case held != nil:
			if known && record.IsOf(h.node.settings.Self) {
				held.take(record)
			}
			if !known {
				h.restore(ctx, held)
			}
			h.settle(ctx, held)
			h.deputise(ctx, held)
			h.arm(ctx, held)
		case known && record.IsOf(h.node.settings.Self):
			h.adopt(ctx, database)
		default:
			h.consider(ctx, database, record, known)
		}
	}
}

// prepare returns a holding of the record without any right to work yet.
func (h *holder) prepare(database routes.Database, record owned) *holding {
	n := h.node
	return &holding{
		node: n, database: database.ID, record: record, fenced: map[hold.Holder]bool{},
		deputies:  map[hold.Holder]clock.Moment{},
		authority: hold.NewAuthority(n.settings.Clock, 0, n.settings.Clock.Now().Add(-hold.Duration)),
	}
}

// start begins to serve the database.
func (h *holder) start(database routes.Database, taken *holding) {
	n := h.node
	taken.acquired = n.settings.Clock.Now()
	taken.group = group.New(group.Settings{
		Database: database.ID, Self: n.settings.Self, MaxConnections: database.MaxConnections,
		SyncReplicas: database.SyncReplicas, Dialer: n.settings.Dialer,
		Promoter: n.settings.Promoter, Ownership: taken, Clock: n.settings.Clock,
		Logger: n.logger, Requests: n.settings.Requests, Refresh: n.entries.refresh,
		Witness: n.witness,
		Yield:   func(ctx context.Context, to types.InstanceID) { h.yield(ctx, taken, to) },
	})
	h.mu.Lock()
	h.holdings[database.ID] = taken
	delete(h.unowned, database.ID)
	if members := h.members[database.ID]; len(members) > 0 {
		taken.group.SetMembers(members)
	}
	h.mu.Unlock()
	n.entries.refresh()
	n.roster.wake()
}

// lose ends the ownership of a database that another instance has claimed; transactions get a moment to end.
func (h *holder) lose(held *holding, record owned) {
	h.node.logger.Info("database lost", "database", held.database, "owner", record.Instance, "revision", record.revision)
	h.mu.Lock()
	delete(h.holdings, held.database)
	h.mu.Unlock()
	held.group.Retire()
	h.node.running.Go(func() {
		pause.For(h.node.ctx, formerLimit)
		held.authority.Revoke()
		held.group.Close()
	})
}

// reread reads the record of a database and reports whether the store answered.
func (h *holder) reread(ctx context.Context, database types.DatabaseID) bool {
	i, found, err := h.node.store.Get(ctx, ownerKey(database))
	if err == nil && found {
		h.node.roster.take(i)
	}
	return err == nil
}

// confirm reads the owners' records and extends the authority over those that name this instance.
func (h *holder) confirm(ctx context.Context) {
	n := h.node
	sent := n.settings.Clock.Now()
	items, revision, err := n.store.Range(ctx, ownersPrefix)
	if err != nil {
		n.logger.Warn("ownership not confirmed", "error", err)
		return
	}
	for _, i := range items {
		n.roster.take(i)
		database := types.DatabaseID(strings.TrimPrefix(i.Key, ownersPrefix))
		held := h.get(database)
		record, err := hold.Decode(i.Value)
		if err != nil {
			continue
		}
		if held != nil && record.IsOf(n.settings.Self) {
			held.confirm(owned{record, i.Revision}, sent)
		}
		if record.HasDeputy(n.settings.Self) {
			h.nominate(database, held, nomination{types.Epoch(i.Revision), sent})
		}
	}
	n.roster.retain(ownersPrefix, items, revision)
}

// close ends all holdings.
func (h *holder) close() {
	h.mu.Lock()
	held := h.holdings
	h.holdings = map[types.DatabaseID]*holding{}
	h.mu.Unlock()
	for _, one := range held {
		one.authority.Revoke()
		one.group.Close()
	}
	h.watches.close()
}

func (h *holder) setMembers(byDatabase map[types.DatabaseID][]routes.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, members := range byDatabase {
		slices.SortFunc(members, func(a, b routes.Member) int { return strings.Compare(string(a.Target), string(b.Target)) })
	}
	h.members = byDatabase
	for id, held := range h.holdings {
		held.group.SetMembers(byDatabase[id])
	}
}

func (h *holder) get(database types.DatabaseID) *holding {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holdings[database]
}

func (h *holder) holdsAny() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.holdings) > 0
}

func (h *holder) isLeaving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaving
}

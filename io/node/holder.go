package node

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/fleet"
	"turmericpulley/core/hold"
	"turmericpulley/core/pause"
	"turmericpulley/core/policy"
	"turmericpulley/core/routes"
	"turmericpulley/core/types"
	"turmericpulley/io/group"
	"turmericpulley/io/wire"
)

const (
	// confirmInterval is the time between two readings of the owners' records by an owner.
	confirmInterval = 1500 * time.Millisecond
	// holderInterval is the time between two looks at all databases.
	holderInterval = 100 * time.Millisecond
	// claimStep is the time that each rank leaves to the one before it.
	claimStep = 150 * time.Millisecond
	// settleAfter is how long an owner stays before it moves its database to the data centre of the primary, and the time
	// between two such moves.
	settleAfter = 2 * time.Second
	// settleAfterTakeover is the same for a database that had another owner before, which may be cut from the primary.
	settleAfterTakeover = 8 * time.Second
	// offerTimeout bounds the reading of a record by an instance that is asked whether it could own a database.
	offerTimeout = 300 * time.Millisecond
	// handOverTimeout bounds the handing over of a database at a planned stop.
	handOverTimeout = time.Second
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
}

func newHolder(n *Node) *holder {
	return &holder{
		node: n, watches: newWatches(n), holdings: map[types.DatabaseID]*holding{},
		unowned: map[types.DatabaseID]clock.Moment{}, members: map[types.DatabaseID][]routes.Member{},
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
			if h.holdsAny() {
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
		case held != nil && known && !record.IsOf(h.node.settings.Self) && record.revision > held.revision():
			h.lose(held, record)
		case held != nil:
			if known && record.IsOf(h.node.settings.Self) {
				held.mu.Lock()
				if record.revision > held.record.revision {
					held.record = record
				}
				held.mu.Unlock()
			}
			if !known {
				h.restore(ctx, held)
			}
			h.settle(ctx, held)
		case known && record.IsOf(h.node.settings.Self):
			h.adopt(ctx, database)
		default:
			h.consider(ctx, database, record, known)
		}
	}
}

func (h *holding) revision() types.Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.record.revision
}

// consider claims a database that has no living owner when it is this instance's turn.
func (h *holder) consider(ctx context.Context, database routes.Database, record owned, known bool) {
	rank := h.rank(database.ID, record)
	if h.isLeaving() || rank < 0 {
		return
	}
	if known && !h.watches.dead(record.Holder, rank) {
		h.mu.Lock()
		delete(h.unowned, database.ID)
		h.mu.Unlock()
		return
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
	h.claim(ctx, database, record)
}

// rank returns this instance's place among those that may own the database; the present owner does not count.
func (h *holder) rank(database types.DatabaseID, record owned) int {
	membership := fleet.Membership{Instances: h.node.roster.all()}
	subject := policy.Database{Database: database}
	rank := 0
	for _, i := range membership.Ranked(subject) {
		if i.ID == h.node.settings.Self.ID {
			return rank
		}
		if i.ID != record.Instance {
			rank++
		}
	}
	return -1
}

// claim writes a record that names this instance.
func (h *holder) claim(ctx context.Context, database routes.Database, record owned) {
	n := h.node
	next := owned{record.HandedTo(n.settings.Self), record.revision}
	taken := h.prepare(database, next)
	sent := n.settings.Clock.Now()
	if err := taken.write(ctx, next, sent); err != nil {
		n.logger.Info("database not claimed", "database", database.ID, "error", err)
		h.reread(ctx, database.ID)
		pause.For(ctx, holderInterval)
		return
	}
	n.logger.Info("database claimed", "database", database.ID, "epoch", taken.authority.Epoch(), "before", record.Instance)
	h.start(database, taken)
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

func (h *holder) prepare(database routes.Database, record owned) *holding {
	n := h.node
	return &holding{
		node: n, database: database.ID, record: record, fenced: map[hold.Holder]bool{},
		authority: hold.NewAuthority(n.settings.Clock, 0, n.settings.Clock.Now().Add(-hold.Duration)),
	}
}

// start begins to serve the database.
func (h *holder) start(database routes.Database, taken *holding) {
	n := h.node
	taken.acquired = n.settings.Clock.Now()
	taken.group = group.New(group.Settings{
		Database: database.ID, Self: n.settings.Self, MaxConnections: database.MaxConnections, Dialer: n.settings.Dialer,
		Promoter: n.settings.Promoter, Ownership: taken, Clock: n.settings.Clock, Logger: n.logger, Requests: n.settings.Requests, Refresh: n.entries.refresh,
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
	n.roster.mu.Lock()
	n.roster.signal()
	n.roster.mu.Unlock()
}

// restore writes the record again when the store has dropped it.
func (h *holder) restore(ctx context.Context, held *holding) {
	n := h.node
	n.logger.Warn("record of the owner is gone, writing it again", "database", held.database)
	held.mu.Lock()
	next := held.record
	held.mu.Unlock()
	next.revision = 0
	if err := held.write(ctx, next, n.settings.Clock.Now()); err != nil {
		n.logger.Warn("record of the owner not written", "database", held.database, "error", err)
		h.reread(ctx, held.database)
		pause.For(ctx, holderInterval)
		return
	}
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
		if held != nil && err == nil && record.IsOf(n.settings.Self) {
			held.confirm(owned{record, i.Revision}, sent)
		}
	}
	n.roster.retain(ownersPrefix, items, revision)
}

// fence ends work under ownerships older than the epoch.
func (h *holder) fence(database types.DatabaseID, epoch types.Epoch) bool {
	held := h.get(database)
	if held == nil {
		return true
	}
	if held.authority.Epoch() >= epoch {
		return false
	}
	held.authority.Revoke()
	return true
}

// leave hands all databases to other instances.
func (h *holder) leave() {
	h.mu.Lock()
	h.leaving = true
	held := make([]*holding, 0, len(h.holdings))
	for _, one := range h.holdings {
		held = append(held, one)
	}
	h.mu.Unlock()
	for _, one := range held {
		primary, _ := one.group.Primary()
		h.handOver(h.node.ctx, one, primary.DataCentre)
	}
}

// settle moves a database to an instance in the data centre of its primary, which saves every statement a way between
// data centres.
func (h *holder) settle(ctx context.Context, held *holding) {
	n := h.node
	primary, open := held.group.Primary()
	here := n.settings.Self.DataCentre
	calm := settleAfter
	held.mu.Lock()
	if len(held.record.Former) > 0 {
		calm = settleAfterTakeover
	}
	held.mu.Unlock()
	if !open || primary.DataCentre == here || primary.Leaving || n.settings.Clock.Since(held.acquired) < calm ||
		n.settings.Clock.Since(held.moved) < calm || h.isLeaving() {
		return
	}
	held.moved = n.settings.Clock.Now()
	for _, i := range n.roster.all() {
		if i.DataCentre == primary.DataCentre {
			h.handOver(ctx, held, primary.DataCentre)
			return
		}
	}
}

// handOver names an able instance as the next owner, one in the data centre when there is any.
func (h *holder) handOver(ctx context.Context, held *holding, dataCentre types.DataCentre) {
	n := h.node
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	membership := fleet.Membership{Instances: n.roster.all()}
	subject := policy.Database{Database: held.database, Members: []policy.Member{{DataCentre: dataCentre}}}
	for _, i := range membership.Ranked(subject) {
		if i.ID != n.settings.Self.ID && h.name(ctx, held, i) {
			return
		}
	}
	if dataCentre != "" {
		h.handOver(ctx, held, "")
	}
}

// yield hands the database to the instance, which reaches a primary that this one does not.
func (h *holder) yield(ctx context.Context, held *holding, to types.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if i, known := h.node.roster.instance(to); known {
		h.name(ctx, held, i)
	}
}

// name writes the instance into the record as the next owner if it is able to take over; an instance that is cut from
// the store would not notice.
func (h *holder) name(ctx context.Context, held *holding, next fleet.Instance) bool {
	n := h.node
	if !n.offer(ctx, next, held.database, false) {
		return false
	}
	held.mu.Lock()
	record := owned{held.record.HandedTo(next), held.record.revision}
	held.mu.Unlock()
	value, err := record.Encode()
	if err == nil {
		record.revision, err = n.store.Put(ctx, ownerKey(held.database), value, record.revision)
	}
	n.logger.Info("database handed over", "database", held.database, "to", next.ID, "error", err)
	if err != nil {
		return true
	}
	n.offer(ctx, next, held.database, true)
	n.roster.take(Item{Key: ownerKey(held.database), Value: value, Revision: record.revision})
	return true
}

// offer asks an instance whether it could own the database, or tells it that it does.
func (n *Node) offer(ctx context.Context, to fleet.Instance, database types.DatabaseID, named bool) bool {
	reply, err := n.call(ctx, to.PeerAddress, &wire.Call{Kind: &wire.Call_Offer{Offer: &wire.Offer{
		Database: string(database), Named: named,
	}}})
	return err == nil && reply.GetOffered().GetAble()
}

// offered answers whether this instance could own the database. The record is read from the store in both cases, which
// also shows whether the store answers.
func (h *holder) offered(o *wire.Offer) bool {
	if h.isLeaving() || h.node.routes.Table() == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(h.node.ctx, offerTimeout)
	defer cancel()
	return h.reread(ctx, types.DatabaseID(o.GetDatabase()))
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

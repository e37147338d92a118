package node

import (
	"context"
	"slices"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/hold"
	"turmericpulley/core/routes"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

// deputyPause is the time between two attempts of an owner to name a deputy.
const deputyPause = 2 * time.Second

// succeedPause is the time between two attempts of a deputy to become the owner.
const succeedPause = 500 * time.Millisecond

// nomination is a read of the store that showed this instance as the deputy of a database.
type nomination struct {
	epoch types.Epoch
	sent  clock.Moment
}

// nominate notes that the store names this instance as the deputy, which lets one that acts go on.
func (h *holder) nominate(database types.DatabaseID, held *holding, shown nomination) {
	h.mu.Lock()
	h.nominations[database] = shown
	h.mu.Unlock()
	if held != nil && held.isActing() {
		held.authority.Nominate(shown.epoch, shown.sent)
	}
}

// isActing reports whether the holding is a deputy's.
func (h *holding) isActing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.acting
}

// noteDeputy notes who the record names, and since when others are not named any more; the caller holds the lock.
func (h *holding) noteDeputy(now clock.Moment) {
	for holder, removed := range h.deputies {
		if removed == 0 && (h.record.Deputy == nil || *h.record.Deputy != holder) {
			h.deputies[holder] = now
		}
	}
	if h.record.Deputy != nil {
		h.deputies[*h.record.Deputy] = 0
	}
}

// deputiesStopped reports whether no deputy can work: each has confirmed that, or its time is over. A deputy that does
// not confirm is taken out of the record, so that its time ends.
func (h *holding) deputiesStopped(ctx context.Context) bool {
	now := h.node.settings.Clock.Now()
	h.mu.Lock()
	var present []hold.Holder
	var removable bool
	for holder, removed := range h.deputies {
		switch {
		case removed == 0:
			present, removable = append(present, holder), true
		case now.Sub(removed) < hold.DeputyDuration:
			present = append(present, holder)
		default:
			delete(h.deputies, holder)
		}
	}
	next := h.record
	h.mu.Unlock()
	stopped := true
	for _, holder := range present {
		stopped = h.stop(ctx, holder) && stopped
	}
	if !stopped && removable {
		next.Deputy = nil
		if err := h.write(ctx, next, now); err != nil {
			h.node.logger.Warn("silent deputy not removed", "database", h.database, "error", err)
		}
	}
	return stopped
}

// deputise names a deputy when there is none that lives, and tells it of the members.
func (h *holder) deputise(ctx context.Context, held *holding) {
	n := h.node
	record := held.current()
	if record.Deputy != nil && !h.watches.dead(*record.Deputy, 0) || n.settings.Clock.Since(held.acquired) < settleAfter ||
		n.settings.Clock.Since(held.deputised) < deputyPause || h.isLeaving() {
		return
	}
	held.deputised = n.settings.Clock.Now()
	for _, i := range n.roster.ranked(held.database, "") {
		candidate := hold.Holder{Instance: i.ID, Incarnation: i.Incarnation}
		if i.ID == n.settings.Self.ID || record.Deputy != nil && *record.Deputy == candidate || !n.offer(ctx, i, held.database, false) {
			continue
		}
		next := record
		next.Deputy = &candidate
		if err := held.write(ctx, next, n.settings.Clock.Now()); err != nil {
			n.logger.Info("deputy not named", "database", held.database, "error", err)
			return
		}
		n.logger.Info("deputy named", "database", held.database, "deputy", i.ID)
		held.armed = nil
		h.arm(ctx, held)
		return
	}
}

// arm tells the deputy of the members unless it knows them.
func (h *holder) arm(ctx context.Context, held *holding) {
	deputy := held.current().Deputy
	members := h.membersOf(held.database)
	if deputy == nil || len(members) == 0 || slices.Equal(members, held.armed) {
		return
	}
	instance, known := h.node.roster.instance(deputy.Instance)
	if !known {
		return
	}
	message := &wire.Arm{Database: string(held.database)}
	for _, m := range members {
		message.Members = append(message.Members, &wire.MemberEntry{
			Target: string(m.Target), Address: m.Address, DataCentre: string(m.DataCentre), Slots: uint32(m.Slots),
			Leaving: m.Leaving, Born: m.Born,
		})
	}
	if _, err := h.node.call(ctx, instance.PeerAddress, &wire.Call{Kind: &wire.Call_Arm{Arm: message}}); err == nil {
		held.armed = members
	}
}

// armed takes what the owner says of the members.
func (h *holder) armed(a *wire.Arm) {
	members := make([]routes.Member, 0, len(a.GetMembers()))
	for _, m := range a.GetMembers() {
		members = append(members, routes.Member{
			Target: types.TargetID(m.GetTarget()), Database: types.DatabaseID(a.GetDatabase()), Address: m.GetAddress(),
			DataCentre: types.DataCentre(m.GetDataCentre()), Slots: int(m.GetSlots()), Leaving: m.GetLeaving(), Born: m.GetBorn(),
		})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.membersTold[types.DatabaseID(a.GetDatabase())] = members
}

// act begins to work in the place of a dead owner when this instance is its deputy; it needs no store for that.
func (h *holder) act(database routes.Database, record owned) {
	n := h.node
	epoch := types.Epoch(record.revision)
	h.mu.Lock()
	shown, members, fenced := h.nominations[database.ID], h.membersTold[database.ID], h.fencedEpochs[database.ID]
	h.mu.Unlock()
	authority := hold.NewDeputyAuthority(n.settings.Clock, epoch, shown.sent)
	if shown.epoch != epoch || fenced >= epoch || len(members) == 0 || !authority.Valid() {
		return
	}
	taken := h.prepare(database, record)
	taken.authority, taken.acting = authority, true
	h.mu.Lock()
	h.members[database.ID] = members
	h.mu.Unlock()
	n.entries.seed(members)
	n.logger.Info("deputy acts", "database", database.ID, "epoch", epoch, "owner", record.Instance, "left", authority.Left().String())
	h.start(database, taken)
	// A fence that came before the holding was to be seen found nothing to end.
	h.mu.Lock()
	fenced = h.fencedEpochs[database.ID]
	h.mu.Unlock()
	if fenced >= epoch {
		authority.Revoke()
	}
}

// succeed makes an acting deputy the owner as soon as the store answers.
func (h *holder) succeed(ctx context.Context, held *holding) {
	n := h.node
	if n.settings.Clock.Since(held.deputised) < succeedPause {
		return
	}
	held.deputised = n.settings.Clock.Now()
	if err := held.write(ctx, held.current().handedTo(n.settings.Self), n.settings.Clock.Now()); err != nil {
		n.logger.Info("deputy not yet the owner", "database", held.database, "error", err)
		return
	}
	held.mu.Lock()
	held.acting, held.acquired = false, n.settings.Clock.Now()
	held.mu.Unlock()
	n.logger.Info("deputy is the owner", "database", held.database, "epoch", held.authority.Epoch())
}

// membersOf returns the last known members of the database.
func (h *holder) membersOf(database types.DatabaseID) []routes.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.members[database]
}

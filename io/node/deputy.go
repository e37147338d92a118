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

// designateInterval is the time between two attempts of an owner to name a deputy.
const designateInterval = 2 * time.Second

// becomeOwnerInterval is the time between two attempts of a deputy to become the owner.
const becomeOwnerInterval = 500 * time.Millisecond

// standbyRenewal is a read of the store that showed this instance as the deputy of a database.
type standbyRenewal struct {
	epoch types.Epoch
	sent  clock.Moment
}

// renewStandby notes that the store names this instance as the deputy, which lets one that acts go on.
func (h *ownershipManager) renewStandby(database types.DatabaseID, held *ownership, shown standbyRenewal) {
	h.mu.Lock()
	h.standbyRenewals[database] = shown
	h.mu.Unlock()
	if held != nil && held.isActing() {
		held.lease.RenewStandby(shown.epoch, shown.sent)
	}
}

// isActing reports whether the holding is a deputy's.
func (h *ownership) isActing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.acting
}

// updateStandbys notes who the record names, and since when others are not named any more; the caller holds the lock.
func (h *ownership) updateStandbys(now clock.Moment) {
	for holder, removed := range h.standbys {
		if removed == 0 && (h.record.Standby == nil || *h.record.Standby != holder) {
			h.standbys[holder] = now
		}
	}
	if h.record.Standby != nil {
		h.standbys[*h.record.Standby] = 0
	}
}

// standbysStopped reports whether no deputy can work: each has confirmed that, or its time is over. A deputy that does
// not confirm is taken out of the record, so that its time ends.
func (h *ownership) standbysStopped(ctx context.Context) bool {
	now := h.node.settings.Clock.Now()
	h.mu.Lock()
	var present []hold.Owner
	var removable bool
	for holder, removed := range h.standbys {
		switch {
		case removed == 0:
			present, removable = append(present, holder), true
		case now.Sub(removed) < hold.StandbyLeaseDuration:
			present = append(present, holder)
		default:
			delete(h.standbys, holder)
		}
	}
	next := h.record
	h.mu.Unlock()
	stopped := true
	for _, holder := range present {
		stopped = h.requestStop(ctx, holder) && stopped
	}
	if !stopped && removable {
		next.Standby = nil
		if err := h.writeRecord(ctx, next, now); err != nil {
			h.node.logger.Warn("silent deputy not removed", "database", h.database, "error", err)
		}
	}
	return stopped
}

// designateStandby names a deputy when there is none that lives, and tells it of the members.
func (h *ownershipManager) designateStandby(ctx context.Context, held *ownership) {
	n := h.node
	record := held.current()
	if record.Standby != nil && !h.detector.isDead(*record.Standby, 0) || n.settings.Clock.Since(held.acquired) < moveInterval ||
		n.settings.Clock.Since(held.lastStandbyAttempt) < designateInterval || h.isLeaving() {
		return
	}
	held.lastStandbyAttempt = n.settings.Clock.Now()
	for _, i := range n.directory.ranked(held.database, "") {
		candidate := hold.Owner{Instance: i.ID, Incarnation: i.Incarnation}
		if i.ID == n.settings.Self.ID || record.Standby != nil && *record.Standby == candidate || !n.sendOffer(ctx, i, held.database, false) {
			continue
		}
		next := record
		next.Standby = &candidate
		if err := held.writeRecord(ctx, next, n.settings.Clock.Now()); err != nil {
			n.logger.Info("deputy not named", "database", held.database, "error", err)
			return
		}
		n.logger.Info("deputy named", "database", held.database, "deputy", i.ID)
		held.sentMembers = nil
		h.sendMembers(ctx, held)
		return
	}
}

// sendMembers tells the deputy of the members unless it knows them.
func (h *ownershipManager) sendMembers(ctx context.Context, held *ownership) {
	deputy := held.current().Standby
	members := h.membersOf(held.database)
	if deputy == nil || len(members) == 0 || slices.Equal(members, held.sentMembers) {
		return
	}
	instance, known := h.node.directory.instance(deputy.Instance)
	if !known {
		return
	}
	message := &wire.Arm{Database: string(held.database)}
	for _, m := range members {
		message.Members = append(message.Members, &wire.MemberEntry{
			Target: string(m.Target), Address: m.Address, DataCentre: string(m.DataCentre), Slots: uint32(m.Slots),
			Leaving: m.Leaving, Born: m.StartedUnixMs,
		})
	}
	if _, err := h.node.call(ctx, instance.PeerAddress, &wire.Call{Kind: &wire.Call_Arm{Arm: message}}); err == nil {
		held.sentMembers = members
	}
}

// receiveMembers takes what the owner says of the members.
func (h *ownershipManager) receiveMembers(a *wire.Arm) {
	members := make([]routes.Member, 0, len(a.GetMembers()))
	for _, m := range a.GetMembers() {
		members = append(members, routes.Member{
			Target: types.TargetID(m.GetTarget()), Database: types.DatabaseID(a.GetDatabase()), Address: m.GetAddress(),
			DataCentre: types.DataCentre(m.GetDataCentre()), Slots: int(m.GetSlots()), Leaving: m.GetLeaving(), StartedUnixMs: m.GetBorn(),
		})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.receivedMembers[types.DatabaseID(a.GetDatabase())] = members
}

// actAsStandby begins to work in the place of a dead owner when this instance is its deputy; it needs no store for that.
func (h *ownershipManager) actAsStandby(database routes.Database, record ownerRecord) {
	n := h.node
	epoch := types.Epoch(record.revision)
	h.mu.Lock()
	shown, members, fenced := h.standbyRenewals[database.ID], h.receivedMembers[database.ID], h.fencedEpochs[database.ID]
	h.mu.Unlock()
	authority := hold.NewStandbyLease(n.settings.Clock, epoch, shown.sent)
	if shown.epoch != epoch || fenced >= epoch || len(members) == 0 || !authority.Valid() {
		return
	}
	taken := h.newOwnership(database, record)
	taken.lease, taken.acting = authority, true
	h.mu.Lock()
	h.members[database.ID] = members
	h.mu.Unlock()
	n.memberEntries.seed(members)
	n.logger.Info("deputy acts", "database", database.ID, "epoch", epoch, "owner", record.Instance, "left", authority.Remaining().String())
	h.start(database, taken)
	// A fence that came before the holding was to be seen found nothing to end.
	h.mu.Lock()
	fenced = h.fencedEpochs[database.ID]
	h.mu.Unlock()
	if fenced >= epoch {
		authority.Revoke()
	}
}

// becomeOwner makes an acting deputy the owner as soon as the store answers.
func (h *ownershipManager) becomeOwner(ctx context.Context, held *ownership) {
	n := h.node
	if n.settings.Clock.Since(held.lastStandbyAttempt) < becomeOwnerInterval {
		return
	}
	held.lastStandbyAttempt = n.settings.Clock.Now()
	if err := held.writeRecord(ctx, held.current().handedTo(n.settings.Self), n.settings.Clock.Now()); err != nil {
		n.logger.Info("deputy not yet the owner", "database", held.database, "error", err)
		return
	}
	held.mu.Lock()
	held.acting, held.acquired = false, n.settings.Clock.Now()
	held.mu.Unlock()
	n.logger.Info("deputy is the owner", "database", held.database, "epoch", held.lease.Epoch())
}

// membersOf returns the last known members of the database.
func (h *ownershipManager) membersOf(database types.DatabaseID) []routes.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.members[database]
}

package node

import (
	"context"
	"slices"
	"strings"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/fleet"
	"turmericpulley/core/hold"
	"turmericpulley/core/routes"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

// designateInterval is the time between two attempts of an owner to designate a standby.
const designateInterval = 2 * time.Second

// becomeOwnerInterval is the time between two attempts of an acting standby to become the owner.
const becomeOwnerInterval = 500 * time.Millisecond

// standbyRenewal is a read of the store that showed this instance as the standby of a database: the epoch of the record and the
// moment at which the read was sent.
type standbyRenewal struct {
	epoch types.Epoch
	sent  clock.Moment
}

// renewStandby records that the store names this instance as the standby. If it is acting, this renews its lease.
func (m *ownershipManager) renewStandby(database types.DatabaseID, owned *ownership, renewal standbyRenewal) {
	m.mu.Lock()
	m.standbyRenewals[database] = renewal
	m.mu.Unlock()
	if owned != nil && owned.isActing() {
		owned.lease.RenewStandby(renewal.epoch, renewal.sent)
	}
}

// isActing reports whether this instance acts as the standby and is not the owner yet.
func (o *ownership) isActing() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.acting
}

// updateStandbys records which standby the record names, and when earlier ones were removed from it. The caller holds the
// lock.
func (o *ownership) updateStandbys(now clock.Moment) {
	for standby, removed := range o.standbys {
		if removed == 0 && (o.record.Standby == nil || *o.record.Standby != standby) {
			o.standbys[standby] = now
		}
	}
	if o.record.Standby != nil {
		o.standbys[*o.record.Standby] = 0
	}
}

// standbysStopped reports whether no standby can work for the database any more: each has confirmed that it stopped, or its
// lease has expired. A current standby that does not confirm is removed from the record, so that its lease expires.
func (o *ownership) standbysStopped(ctx context.Context, letEnd bool) bool {
	now := o.node.settings.Clock.Now()
	o.mu.Lock()
	var active []hold.Owner
	var removable bool
	for standby, removed := range o.standbys {
		switch {
		case removed == 0:
			active, removable = append(active, standby), true
		case now.Sub(removed) < hold.StandbyLeaseDuration:
			active = append(active, standby)
		default:
			delete(o.standbys, standby)
		}
	}
	next := o.record
	o.mu.Unlock()
	stopped := true
	for _, standby := range active {
		// A standby acts under the epoch of the owner.
		hasReported := o.node.ownerships.hasReportedStop(o.database, standby, o.lease.Epoch()+1)
		stopped = (hasReported || o.requestStop(ctx, standby, letEnd)) && stopped
	}
	if !stopped && removable {
		next.Standby = nil
		if err := o.writeRecord(ctx, next, now); err != nil {
			o.node.logger.Warn("unresponsive standby not removed", "database", o.database, "error", err)
		}
	}
	return stopped
}

// designateStandby writes a standby into the owner record when there is none that is alive, and sends it the members.
func (m *ownershipManager) designateStandby(ctx context.Context, owned *ownership) {
	n := m.node
	record := owned.current()
	if record.Standby != nil && !m.detector.isDead(*record.Standby, 0, 0) || n.settings.Clock.Since(owned.acquired) < moveInterval ||
		n.settings.Clock.Since(owned.lastStandbyAttempt) < designateInterval || m.isLeaving() {
		return
	}
	owned.lastStandbyAttempt = n.settings.Clock.Now()
	for _, instance := range n.directory.ownerCandidates(owned.database, "") {
		candidate := hold.Owner{Instance: instance.ID, Incarnation: instance.Incarnation}
		if instance.ID == n.settings.Self.ID || record.Standby != nil && *record.Standby == candidate || !n.sendOffer(ctx, instance, owned.database, false) {
			continue
		}
		next := record
		next.Standby = &candidate
		if err := owned.writeRecord(ctx, next, n.settings.Clock.Now()); err != nil {
			n.logger.Info("standby not designated", "database", owned.database, "error", err)
			return
		}
		n.logger.Info("standby designated", "database", owned.database, "deputy", instance.ID)
		owned.mu.Lock()
		owned.sentMembers = nil
		owned.mu.Unlock()
		m.sendMembers(ctx, owned)
		return
	}
}

// sendMembers sends the database's members to the standby, in the background, when they have changed and after each read of their
// entries, which shows until when they stayed.
func (m *ownershipManager) sendMembers(ctx context.Context, owned *ownership) {
	standby := owned.current().Standby
	members, revision := m.membersOf(owned.database), m.node.memberEntries.lastRead()
	if standby == nil || len(members) == 0 {
		return
	}
	instance, known := m.node.directory.instance(standby.Instance)
	owned.mu.Lock()
	defer owned.mu.Unlock()
	if !known || owned.sending || owned.sentRevision == revision && slices.Equal(members, owned.sentMembers) {
		return
	}
	owned.sending = true
	m.node.goroutines.Go(func() {
		err := m.node.sendEntries(ctx, instance, owned.database, members)
		owned.mu.Lock()
		defer owned.mu.Unlock()
		owned.sending = false
		if err == nil {
			owned.sentMembers, owned.sentRevision = members, revision
		}
	})
}

// sendEntries sends the members of a database to its standby or next owner.
func (n *Node) sendEntries(ctx context.Context, to fleet.Instance, database types.DatabaseID, members []routes.Member) error {
	message := &wire.Arm{Database: string(database)}
	for _, member := range members {
		message.Members = append(message.Members, &wire.MemberEntry{
			Target: string(member.Target), Address: member.Address, DataCentre: string(member.DataCentre), Slots: uint32(member.Slots),
			Leaving: member.Leaving, Born: member.StartedUnixMs, StayedRevision: uint64(n.memberEntries.stayOf(member)),
		})
	}
	_, err := n.call(ctx, to.PeerAddress, &wire.Call{Kind: &wire.Call_Arm{Arm: message}})
	return err
}

// receiveMembers records the members that the owner of a database has sent to this instance, its standby or next owner.
func (m *ownershipManager) receiveMembers(message *wire.Arm) {
	members := make([]routes.Member, 0, len(message.GetMembers()))
	for _, received := range message.GetMembers() {
		member := routes.Member{
			Target: types.TargetID(received.GetTarget()), Database: types.DatabaseID(message.GetDatabase()), Address: received.GetAddress(),
			DataCentre: types.DataCentre(received.GetDataCentre()), Slots: int(received.GetSlots()), Leaving: received.GetLeaving(),
			StartedUnixMs: received.GetBorn(),
		}
		if revision := types.Revision(received.GetStayedRevision()); revision != 0 {
			m.node.memberEntries.recordStay(member, revision)
		}
		members = append(members, member)
	}
	m.mu.Lock()
	previous := m.receivedMembers[types.DatabaseID(message.GetDatabase())]
	m.receivedMembers[types.DatabaseID(message.GetDatabase())] = members
	m.mu.Unlock()
	m.node.memberEntries.forgetStays(previous, members)
}

// actAsStandby starts to work in place of a dead owner when this instance is its standby and its standby lease is valid. It
// needs no call to the store.
func (m *ownershipManager) actAsStandby(database routes.Database, record ownerRecord) {
	n := m.node
	epoch := types.Epoch(record.revision)
	m.mu.Lock()
	renewal, members, fenced := m.standbyRenewals[database.ID], m.receivedMembers[database.ID], m.fencedEpochs[database.ID]
	m.mu.Unlock()
	lease := hold.NewStandbyLease(n.settings.Clock, epoch, renewal.sent)
	if renewal.epoch != epoch || fenced >= epoch || len(members) == 0 || !lease.Valid() {
		return
	}
	owned := m.newOwnership(database, record)
	owned.lease, owned.acting = lease, true
	members = n.memberEntries.seed(members)
	m.mu.Lock()
	m.members[database.ID] = members
	m.mu.Unlock()
	n.logger.Info("standby acts as owner", "database", database.ID, "epoch", epoch, "owner", record.Instance, "left", lease.Remaining().String())
	m.start(database, owned)
}

// becomeOwner tries to make an acting standby the owner by a write of the owner record. It fails while the store does not
// answer, and is tried again at most once every becomeOwnerInterval.
func (m *ownershipManager) becomeOwner(ctx context.Context, owned *ownership) {
	n := m.node
	if n.settings.Clock.Since(owned.lastStandbyAttempt) < becomeOwnerInterval {
		return
	}
	owned.lastStandbyAttempt = n.settings.Clock.Now()
	if err := owned.writeRecord(ctx, owned.current().handedTo(n.settings.Self), n.settings.Clock.Now()); err != nil {
		n.logger.Info("acting standby not yet the owner", "database", owned.database, "error", err)
		return
	}
	owned.mu.Lock()
	owned.acting, owned.acquired, owned.began = false, n.settings.Clock.Now(), owned.lease.Epoch()
	owned.mu.Unlock()
	n.logger.Info("acting standby became the owner", "database", owned.database, "epoch", owned.lease.Epoch())
}

// setMembers replaces the members of an owned database, sorted by target, and passes them to its group.
func (m *ownershipManager) setMembers(database types.DatabaseID, members []routes.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	owned := m.byDatabase[database]
	if owned == nil {
		return
	}
	slices.SortFunc(members, func(a, b routes.Member) int { return strings.Compare(string(a.Target), string(b.Target)) })
	m.members[database] = members
	owned.group.SetMembers(members)
}

// membersOf returns the last known members of the database.
func (m *ownershipManager) membersOf(database types.DatabaseID) []routes.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members[database]
}

package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/hold"
	"turmericpulley/core/pause"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

const (
	// moveInterval is how long an owner keeps a database before it tries to move the ownership to a better place, and the time between
	// two such attempts. No standby is designated earlier either.
	moveInterval = 2 * time.Second
	// moveIntervalAfterTakeover replaces the first moveInterval for a database that had another owner before. That owner may be cut off
	// from the primary, and the move may give the database back to it.
	moveIntervalAfterTakeover = 8 * time.Second
	// offerTimeout bounds the read of the owner record by an instance that is asked whether it could own a database.
	offerTimeout = 300 * time.Millisecond
	// handOverRetryDelay is the time between two attempts to hand a database over at a planned stop.
	handOverRetryDelay = 100 * time.Millisecond
	// handOverTimeout bounds one attempt to hand a database over.
	handOverTimeout = time.Second
)

// serveFence stops this instance from working for the database under any epoch before the request's, and reports whether it has
// stopped. The work under an ownership goes on after its end, until the open transactions have ended. An acting standby stops under any
// epoch.
func (m *ownershipManager) serveFence(request *wire.Fence) bool {
	database, epoch := types.DatabaseID(request.GetDatabase()), types.Epoch(request.GetEpoch())
	m.mu.Lock()
	m.fencedEpochs[database] = max(m.fencedEpochs[database], epoch)
	working := slices.Clone(m.draining[database])
	if owned := m.byDatabase[database]; owned != nil {
		working = append(working, owned)
	}
	m.mu.Unlock()
	stopped := true
	for _, owned := range working {
		stopped = owned.stopBefore(epoch, request.GetLetEnd()) && stopped
	}
	return stopped
}

// handOverAll hands all databases over to other instances. A database that no other instance can take yet is still served
// here. It returns when each database has got another owner, when there is no other instance, or when the node ends.
func (m *ownershipManager) handOverAll() {
	m.mu.Lock()
	m.leaving = true
	all := make([]*ownership, 0, len(m.byDatabase))
	for _, owned := range m.byDatabase {
		all = append(all, owned)
	}
	m.mu.Unlock()
	var handovers sync.WaitGroup
	for _, owned := range all {
		handovers.Go(func() {
			primary, _ := owned.group.Primary()
			for m.get(owned.database) == owned && !m.handOver(m.node.ctx, owned, primary.DataCentre) {
				if len(m.node.directory.all()) < 2 || !pause.For(m.node.ctx, handOverRetryDelay) {
					return
				}
			}
		})
	}
	handovers.Wait()
}

// maxSuccessorsAsked is the number of instances to which an owner tries to hand a database over before it keeps it for another interval.
const maxSuccessorsAsked = 3

// relocate hands a database over to an instance in the data centre of its primary, so that its statements need not travel between data
// centres, or to one that has more processor time left for it.
func (m *ownershipManager) relocate(ctx context.Context, owned *ownership) {
	n := m.node
	primary, active := owned.group.Primary()
	held := n.settings.Clock.Since(owned.acquired)
	if !active || primary.Leaving || held < moveInterval || n.settings.Clock.Since(owned.lastMove) < moveInterval || m.isLeaving() {
		return
	}
	owned.lastMove = n.settings.Clock.Now()
	successors := n.directory.placement().Successors(n.settings.Self, owned.database, primary.DataCentre)
	if former := owned.current().Former; len(former) > 0 && held < moveIntervalAfterTakeover {
		// A machine that may be too slow for the database need not wait, if it gives the database to another one than had it.
		successors = slices.DeleteFunc(successors, func(i fleet.Instance) bool {
			return !i.IsLarger(n.settings.Self) || slices.ContainsFunc(former, func(f hold.Owner) bool { return f.Instance == i.ID })
		})
	}
	m.handOverToFirst(ctx, owned, successors[:min(len(successors), maxSuccessorsAsked)])
}

// handOver hands the database over to an instance that can take it, preferably one in the data centre, and reports whether it
// found one.
func (m *ownershipManager) handOver(ctx context.Context, owned *ownership, dataCentre types.DataCentre) bool {
	return m.handOverToFirst(ctx, owned, m.node.directory.placement().Candidates(owned.database, dataCentre))
}

// handOverToFirst hands the database over to the first of the instances that can take it, and reports whether it found one.
func (m *ownershipManager) handOverToFirst(ctx context.Context, owned *ownership, candidates []fleet.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for _, instance := range m.node.unresponsive.putLast(candidates) {
		if instance.ID != m.node.settings.Self.ID && m.handOverTo(ctx, owned, instance) {
			return true
		}
	}
	return false
}

// handOverToWitness hands the database over to a witness: an instance that reaches the primary when this one does not. It reports
// whether the witness could take it.
func (m *ownershipManager) handOverToWitness(ctx context.Context, owned *ownership, to types.InstanceID) bool {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	instance, known := m.node.directory.instance(to)
	return known && m.handOverTo(ctx, owned, instance)
}

// handOverTo writes the instance into the record as the next owner if it can take over, and reports whether the store holds that
// record. An instance that does not reach the store would not learn that it owns the database.
func (m *ownershipManager) handOverTo(ctx context.Context, owned *ownership, next fleet.Instance) bool {
	n := m.node
	if !n.sendOffer(ctx, next, owned.database, false) {
		return false
	}
	if err := n.sendEntries(ctx, next, owned.database, m.membersOf(owned.database)); err != nil {
		n.logger.Debug("members not sent to the next owner", "database", owned.database, "to", next.ID, "error", err)
	}
	record := owned.current()
	if owned.formerLeasesEnded() {
		record.Record = record.WithoutFormer()
	}
	stored, err := owned.putRecord(ctx, owned.stamped(record.handedTo(next)))
	n.logger.Info("database handover attempted", "database", owned.database, "to", next.ID, "error", err)
	if err != nil {
		// A write whose answer was lost may have taken effect; the record then names its owner.
		m.rereadRecord(ctx, owned.database)
		record, known := n.directory.owner(owned.database)
		return known && record.revision > owned.current().revision && !record.IsOwnedBy(n.settings.Self)
	}
	n.sendOffer(ctx, next, owned.database, true)
	n.directory.apply(stored)
	return true
}

// sendOffer asks an instance whether it could own the database, or, when named is true, informs it that the record names it.
func (n *Node) sendOffer(ctx context.Context, to fleet.Instance, database types.DatabaseID, named bool) bool {
	reply, err := n.call(ctx, to.PeerAddress, &wire.Call{Kind: &wire.Call_Offer{Offer: &wire.Offer{
		Database: string(database), Named: named,
	}}})
	if err != nil {
		n.unresponsive.record(to.ID)
	}
	return err == nil && reply.GetOffered().GetAble()
}

// serveOffer answers whether this instance could own the database. It reads the owner record from the store: before the
// handover this shows whether the store answers, after it that the record names this instance.
func (m *ownershipManager) serveOffer(offer *wire.Offer) bool {
	if m.isLeaving() || m.node.routes.Table() == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(m.node.ctx, offerTimeout)
	defer cancel()
	return m.rereadRecord(ctx, types.DatabaseID(offer.GetDatabase()))
}

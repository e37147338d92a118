package node

import (
	"context"
	"sync"
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/pause"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

const (
	// moveInterval is how long an owner stays before it moves its database to the data centre of the primary, and the time
	// between two such moves.
	moveInterval = 2 * time.Second
	// moveIntervalAfterTakeover is the same for a database that had another owner before, which may be cut from the primary.
	moveIntervalAfterTakeover = 8 * time.Second
	// offerTimeout bounds the reading of a record by an instance that is asked whether it could own a database.
	offerTimeout = 300 * time.Millisecond
	// handOverRetryDelay is the time between two attempts at a planned stop.
	handOverRetryDelay = 100 * time.Millisecond
	// handOverTimeout bounds the handing over of a database at a planned stop.
	handOverTimeout = time.Second
)

// serveFence ends work under ownerships older than the epoch.
func (h *ownershipManager) serveFence(database types.DatabaseID, epoch types.Epoch) bool {
	h.mu.Lock()
	h.fencedEpochs[database] = max(h.fencedEpochs[database], epoch)
	h.mu.Unlock()
	held := h.get(database)
	if held == nil {
		return true
	}
	if held.isActing() {
		held.lease.Revoke()
		return true
	}
	if held.lease.Epoch() >= epoch {
		return false
	}
	held.lease.Revoke()
	return true
}

// handOverAll hands all databases to other instances; until one is able to take a database over, this one goes on with it. It ends
// when all are handed over, when there is no other instance, or with the node.
func (h *ownershipManager) handOverAll() {
	h.mu.Lock()
	h.leaving = true
	held := make([]*ownership, 0, len(h.byDatabase))
	for _, one := range h.byDatabase {
		held = append(held, one)
	}
	h.mu.Unlock()
	var leaving sync.WaitGroup
	for _, one := range held {
		leaving.Go(func() {
			primary, _ := one.group.Primary()
			for !h.handOver(h.node.ctx, one, primary.DataCentre) {
				if len(h.node.directory.all()) < 2 || !pause.For(h.node.ctx, handOverRetryDelay) {
					return
				}
			}
		})
	}
	leaving.Wait()
}

// moveNearPrimary moves a database to an instance in the data centre of its primary, which saves every statement a way between
// data centres.
func (h *ownershipManager) moveNearPrimary(ctx context.Context, held *ownership) {
	n := h.node
	primary, open := held.group.Primary()
	here := n.settings.Self.DataCentre
	calm := moveInterval
	if len(held.current().Former) > 0 {
		calm = moveIntervalAfterTakeover
	}
	if !open || primary.DataCentre == here || primary.Leaving || n.settings.Clock.Since(held.acquired) < calm ||
		n.settings.Clock.Since(held.lastMove) < calm || h.isLeaving() {
		return
	}
	held.lastMove = n.settings.Clock.Now()
	for _, i := range n.directory.all() {
		if i.DataCentre == primary.DataCentre {
			h.handOver(ctx, held, primary.DataCentre)
			return
		}
	}
}

// handOver names an able instance as the next owner, one in the data centre when there is any; it reports whether it
// found one.
func (h *ownershipManager) handOver(ctx context.Context, held *ownership, dataCentre types.DataCentre) bool {
	n := h.node
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for _, i := range n.directory.ranked(held.database, dataCentre) {
		if i.ID != n.settings.Self.ID && h.handOverTo(ctx, held, i) {
			return true
		}
	}
	return dataCentre != "" && h.handOver(ctx, held, "")
}

// yield hands the database to the instance, which reaches a primary that this one does not.
func (h *ownershipManager) yield(ctx context.Context, held *ownership, to types.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if i, known := h.node.directory.instance(to); known {
		h.handOverTo(ctx, held, i)
	}
}

// handOverTo writes the instance into the record as the next owner if it is able to take over; an instance that is cut from
// the store would not notice.
func (h *ownershipManager) handOverTo(ctx context.Context, held *ownership, next fleet.Instance) bool {
	n := h.node
	if !n.sendOffer(ctx, next, held.database, false) {
		return false
	}
	stored, err := held.putRecord(ctx, held.current().handedTo(next))
	n.logger.Info("database handed over", "database", held.database, "to", next.ID, "error", err)
	if err != nil {
		return true
	}
	n.sendOffer(ctx, next, held.database, true)
	n.directory.apply(stored)
	return true
}

// sendOffer asks an instance whether it could own the database, or tells it that it does.
func (n *Node) sendOffer(ctx context.Context, to fleet.Instance, database types.DatabaseID, named bool) bool {
	reply, err := n.call(ctx, to.PeerAddress, &wire.Call{Kind: &wire.Call_Offer{Offer: &wire.Offer{
		Database: string(database), Named: named,
	}}})
	return err == nil && reply.GetOffered().GetAble()
}

// serveOffer answers whether this instance could own the database. The record is read from the store in both cases, which
// also shows whether the store answers.
func (h *ownershipManager) serveOffer(o *wire.Offer) bool {
	if h.isLeaving() || h.node.routes.Table() == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(h.node.ctx, offerTimeout)
	defer cancel()
	return h.rereadRecord(ctx, types.DatabaseID(o.GetDatabase()))
}

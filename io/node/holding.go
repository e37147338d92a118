package node

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/clock"
	"turmericpulley/core/fault"
	"turmericpulley/core/hold"
	"turmericpulley/core/routes"
	"turmericpulley/core/types"
	"turmericpulley/io/group"
	"turmericpulley/io/wire"
)

// ownership is a database that this instance owns; it is the group's ownership.
type ownership struct {
	node     *Node
	database types.DatabaseID
	lease    *hold.Lease
	group    *group.Group
	// acquired is when the ownership was known to have begun.
	acquired clock.Moment
	// lastMove is when this instance last tried to hand the database to an instance nearer to the primary.
	lastMove clock.Moment
	// lastStandbyAttempt is when this instance last tried to name a deputy.
	lastStandbyAttempt clock.Moment

	mu     sync.Mutex
	record ownerRecord
	// acting holdings are a deputy's: the record still names the owner that is dead.
	acting bool
	// standbys are the present deputy, with a zero moment, and former ones with the moment of their removal.
	standbys    map[hold.Owner]clock.Moment
	sentMembers []routes.Member
	// fenced are the former owners that have confirmed that they do not work any more.
	fenced map[hold.Owner]bool
}

// Lease is the right to work for the database.
func (h *ownership) Lease() *hold.Lease { return h.lease }

// RecordedPromotion returns the last promotion that an owner recorded.
func (h *ownership) RecordedPromotion() *hold.Promotion { return h.current().Promotion }

// MayPromote asks the former owners to stop, unless the time of their authority is over.
func (h *ownership) MayPromote(ctx context.Context) bool {
	if h.isActing() || !h.standbysStopped(ctx) {
		return false
	}
	h.mu.Lock()
	acquired, former := h.acquired, h.record.Former
	h.mu.Unlock()
	if h.node.settings.Clock.Since(acquired) > hold.LeaseDuration {
		return true
	}
	all := true
	for _, f := range former {
		all = h.fence(ctx, f) && all
	}
	return all
}

// fence asks a former owner to stop, once.
func (h *ownership) fence(ctx context.Context, former hold.Owner) bool {
	h.mu.Lock()
	done := h.fenced[former]
	h.mu.Unlock()
	if done || !h.requestStop(ctx, former) {
		return done
	}
	h.mu.Lock()
	h.fenced[former] = true
	h.mu.Unlock()
	return true
}

// requestStop asks an instance to work no more under ownerships up to this one; a machine that answers that nothing listens
// there has no owner either.
func (h *ownership) requestStop(ctx context.Context, holder hold.Owner) bool {
	instance, known := h.node.directory.instance(holder.Instance)
	if !known {
		return false
	}
	reply, err := h.node.call(ctx, instance.PeerAddress, &wire.Call{Kind: &wire.Call_Fence{Fence: &wire.Fence{
		Database: string(h.database), Epoch: uint64(h.lease.Epoch()),
	}}})
	done := err == nil && reply.GetFenced().GetDone() || errors.Is(err, syscall.ECONNREFUSED)
	h.node.logger.Info("instance asked to stop", "database", h.database, "asked", holder.Instance, "stopped", done, "error", err)
	return done
}

// RecordPromotion records a promotion; its token is the store's revision of the record.
func (h *ownership) RecordPromotion(ctx context.Context, promotion hold.Promotion) (types.Epoch, error) {
	next := h.current()
	next.Promotion, next.Former, next.Standby = &promotion, nil, nil
	sent := h.node.settings.Clock.Now()
	if err := h.writeRecord(ctx, next, sent); err != nil {
		return 0, err
	}
	return h.lease.Epoch(), nil
}

// writeRecord replaces the record if it is still the one that is known here.
func (h *ownership) writeRecord(ctx context.Context, next ownerRecord, sent clock.Moment) error {
	stored, err := h.putRecord(ctx, next)
	if err != nil {
		return h.resolveConflict(ctx, next, stored.Value, sent, err)
	}
	next.revision = stored.Revision
	h.node.directory.apply(stored)
	h.renew(next, sent)
	return nil
}

// putRecord replaces the record in the store and returns it as the store holds it.
func (h *ownership) putRecord(ctx context.Context, next ownerRecord) (Item, error) {
	stored := Item{Key: ownerKey(h.database)}
	var err error
	if stored.Value, err = next.Encode(); err != nil {
		return stored, err
	}
	stored.Revision, err = h.node.store.Put(ctx, stored.Key, stored.Value, next.revision)
	return stored, err
}

// resolveConflict finds out whether a write whose answer says conflict has taken effect in an earlier attempt.
func (h *ownership) resolveConflict(ctx context.Context, next ownerRecord, value []byte, sent clock.Moment, cause error) error {
	if f := fault.From(cause); f == nil || f.Kind != fault.RevisionConflict {
		return cause
	}
	i, found, err := h.node.store.Get(ctx, ownerKey(h.database))
	if err != nil || !found {
		return cause
	}
	h.node.directory.apply(i)
	if string(i.Value) != string(value) {
		return cause
	}
	next.revision = i.Revision
	h.renew(next, sent)
	return nil
}

// current returns the newest record that this holding knows.
func (h *ownership) current() ownerRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.record
}

// updateRecord notes a record of this owner if it is newer.
func (h *ownership) updateRecord(record ownerRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if record.revision > h.record.revision {
		h.record = record
	}
	h.updateStandbys(h.node.settings.Clock.Now())
}

// renew takes a record that names this instance, read or written by a call that was sent at the moment.
func (h *ownership) renew(record ownerRecord, sent clock.Moment) {
	h.updateRecord(record)
	h.lease.Renew(types.Epoch(record.revision), sent)
}

// drainTimeout is how long a group whose database was handed over lets open transactions end.
const drainTimeout = 3 * time.Second

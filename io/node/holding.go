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

// holding is a database that this instance owns; it is the group's ownership.
type holding struct {
	node      *Node
	database  types.DatabaseID
	authority *hold.Authority
	group     *group.Group
	// acquired is when the ownership was known to have begun.
	acquired clock.Moment
	// moved is when this instance last tried to hand the database to an instance nearer to the primary.
	moved clock.Moment
	// deputised is when this instance last tried to name a deputy.
	deputised clock.Moment

	mu     sync.Mutex
	record owned
	// acting holdings are a deputy's: the record still names the owner that is dead.
	acting bool
	// deputies are the present deputy, with a zero moment, and former ones with the moment of their removal.
	deputies map[hold.Holder]clock.Moment
	armed    []routes.Member
	// fenced are the former owners that have confirmed that they do not work any more.
	fenced map[hold.Holder]bool
}

// Authority is the right to work for the database.
func (h *holding) Authority() *hold.Authority { return h.authority }

// Intended returns the last promotion that an owner recorded.
func (h *holding) Intended() *hold.Promotion { return h.current().Promotion }

// MayPromote asks the former owners to stop, unless the time of their authority is over.
func (h *holding) MayPromote(ctx context.Context) bool {
	if h.isActing() || !h.deputiesStopped(ctx) {
		return false
	}
	h.mu.Lock()
	acquired, former := h.acquired, h.record.Former
	h.mu.Unlock()
	if h.node.settings.Clock.Since(acquired) > hold.Duration {
		return true
	}
	all := true
	for _, f := range former {
		all = h.fence(ctx, f) && all
	}
	return all
}

// fence asks a former owner to stop, once.
func (h *holding) fence(ctx context.Context, former hold.Holder) bool {
	h.mu.Lock()
	done := h.fenced[former]
	h.mu.Unlock()
	if done || !h.stop(ctx, former) {
		return done
	}
	h.mu.Lock()
	h.fenced[former] = true
	h.mu.Unlock()
	return true
}

// stop asks an instance to work no more under ownerships up to this one; a machine that answers that nothing listens
// there has no owner either.
func (h *holding) stop(ctx context.Context, holder hold.Holder) bool {
	instance, known := h.node.roster.instance(holder.Instance)
	if !known {
		return false
	}
	reply, err := h.node.call(ctx, instance.PeerAddress, &wire.Call{Kind: &wire.Call_Fence{Fence: &wire.Fence{
		Database: string(h.database), Epoch: uint64(h.authority.Epoch()),
	}}})
	done := err == nil && reply.GetFenced().GetDone() || errors.Is(err, syscall.ECONNREFUSED)
	h.node.logger.Info("instance asked to stop", "database", h.database, "asked", holder.Instance, "stopped", done, "error", err)
	return done
}

// Intend records a promotion; its token is the store's revision of the record.
func (h *holding) Intend(ctx context.Context, promotion hold.Promotion) (types.Epoch, error) {
	next := h.current()
	next.Promotion, next.Former, next.Deputy = &promotion, nil, nil
	sent := h.node.settings.Clock.Now()
	if err := h.write(ctx, next, sent); err != nil {
		return 0, err
	}
	return h.authority.Epoch(), nil
}

// write replaces the record if it is still the one that is known here.
func (h *holding) write(ctx context.Context, next owned, sent clock.Moment) error {
	stored, err := h.put(ctx, next)
	if err != nil {
		return h.writeFailed(ctx, next, stored.Value, sent, err)
	}
	next.revision = stored.Revision
	h.node.roster.take(stored)
	h.confirm(next, sent)
	return nil
}

// put replaces the record in the store and returns it as the store holds it.
func (h *holding) put(ctx context.Context, next owned) (Item, error) {
	stored := Item{Key: ownerKey(h.database)}
	var err error
	if stored.Value, err = next.Encode(); err != nil {
		return stored, err
	}
	stored.Revision, err = h.node.store.Put(ctx, stored.Key, stored.Value, next.revision)
	return stored, err
}

// writeFailed finds out whether a write whose answer says conflict has taken effect in an earlier attempt.
func (h *holding) writeFailed(ctx context.Context, next owned, value []byte, sent clock.Moment, cause error) error {
	if f := fault.From(cause); f == nil || f.Kind != fault.RevisionConflict {
		return cause
	}
	i, found, err := h.node.store.Get(ctx, ownerKey(h.database))
	if err != nil || !found {
		return cause
	}
	h.node.roster.take(i)
	if string(i.Value) != string(value) {
		return cause
	}
	next.revision = i.Revision
	h.confirm(next, sent)
	return nil
}

// current returns the newest record that this holding knows.
func (h *holding) current() owned {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.record
}

// take notes a record of this owner if it is newer.
func (h *holding) take(record owned) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if record.revision > h.record.revision {
		h.record = record
	}
	h.noteDeputy(h.node.settings.Clock.Now())
}

// confirm takes a record that names this instance, read or written by a call that was sent at the moment.
func (h *holding) confirm(record owned, sent clock.Moment) {
	h.take(record)
	h.authority.Confirm(types.Epoch(record.revision), sent)
}

// formerLimit is how long a group whose database was handed over lets open transactions end.
const formerLimit = 3 * time.Second

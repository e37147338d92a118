package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/clock"
	"turmericpulley/core/fault"
	"turmericpulley/core/hold"
	"turmericpulley/core/quota"
	"turmericpulley/core/routes"
	"turmericpulley/core/types"
	"turmericpulley/io/group"
	"turmericpulley/io/wire"
)

// ownership is one database that this instance owns, or for which it acts as the standby. It implements group.Ownership.
type ownership struct {
	node     *Node
	database types.DatabaseID
	lease    *hold.Lease
	group    *group.Group
	// acquired is the moment at which this instance started to serve the database. It is set again when an acting standby
	// becomes the owner.
	acquired clock.Moment
	// lastMove is when this instance last tried to hand the database over to an instance in the primary's data centre.
	lastMove clock.Moment
	// lastStandbyAttempt is when this instance last tried to designate a standby or, while it acts as one, to become the owner.
	lastStandbyAttempt clock.Moment

	// ledger spends what the accounts of callers may still send to the database. formerStopped is set when no former owner can be
	// working.
	ledger        *quota.Ledger
	formerStopped atomic.Bool

	// drained is closed when the work under an ownership that has ended is over.
	drained chan struct{}

	mu     sync.Mutex
	record ownerRecord
	// began is the first epoch under which this instance is the owner; former owners work under earlier ones.
	began types.Epoch
	// acting is set while this instance acts as the standby: the record still names the owner that is dead.
	acting bool
	// standbys are the current standby, with a zero moment, and former ones with the moment of their removal from the record.
	standbys map[hold.Owner]clock.Moment
	// sentMembers are the members that were last sent to the current standby, as the read of their entries at sentRevision showed
	// them. sending is set while a message to the standby is on its way.
	sentMembers  []routes.Member
	sentRevision types.Revision
	sending      bool
	// fenced are the former owners that are known to have stopped working for the database.
	fenced map[hold.Owner]bool
}

// Lease returns the lease that lets this instance work for the database.
func (o *ownership) Lease() *hold.Lease { return o.lease }

// RecordedPromotion returns the last promotion that an owner recorded in the store, or nil.
func (o *ownership) RecordedPromotion() *hold.Promotion { return o.current().Promotion }

// MayPromote reports whether no standby and no former owner can work for the database any more. It asks those whose leases may
// still be valid to stop. An acting standby may never promote.
//
// With letEnd, a former owner that still has open transactions at the primary counts as working until they have ended.
func (o *ownership) MayPromote(ctx context.Context, letEnd bool) bool {
	if o.isActing() || !o.standbysStopped(ctx, letEnd) || o.lacksFormer() {
		return false
	}
	o.mu.Lock()
	record := o.record
	o.mu.Unlock()
	if o.formerLeasesEnded() {
		return true
	}
	allStopped := !record.FormerOmitted
	for _, owner := range record.Former {
		allStopped = o.fence(ctx, owner, letEnd) && allStopped
	}
	return allStopped
}

// lacksFormer reports whether the store has been restored lately and has lost owners, whose leases may still last, that the record does
// not list.
func (o *ownership) lacksFormer() bool { return o.lossesLastFor(hold.LeaseDuration) > 0 }

// lossesLastFor returns how much is left of the period from the restoration of the store, if the record may lack something that was
// written before.
func (o *ownership) lossesLastFor(period time.Duration) time.Duration {
	if era, _ := o.node.eras.current(); !o.current().LacksFormer(era) {
		return 0
	}
	return max(0, period-o.node.eras.age())
}

// promotionSettleTime is how long after the loss of its record a promotion may still take effect: it is requested as soon as the record
// is stored, the call may take 1 s, and so may the promotion.
const promotionSettleTime = 2 * time.Second

// UnknownPromotions returns for how long a promotion may still take effect that a restored store has lost. There is none while this
// instance acts as the standby, which is removed from the record before a promotion.
func (o *ownership) UnknownPromotions() time.Duration {
	if o.isActing() {
		return 0
	}
	return o.lossesLastFor(promotionSettleTime)
}

// stamped returns the record as it is written in the current era of the store.
func (o *ownership) stamped(record ownerRecord) ownerRecord {
	era, _ := o.node.eras.current()
	record.Record = record.WrittenIn(era, o.node.eras.age() > hold.LeaseDuration)
	return record
}

// isSuperseded reports whether the record, the last one known, names another owner than this ownership knows.
func (o *ownership) isSuperseded(record ownerRecord) bool {
	current := o.current()
	if record.lost {
		return record.Owner != current.Owner
	}
	return !record.IsOwnedBy(o.node.settings.Self) && record.revision > current.revision
}

// rebase makes the next write replace the record at the revision, zero for none, that a restored store holds instead of this one.
func (o *ownership) rebase(revision types.Revision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.record.revision = revision
}

// formerLeasesEnded reports whether this instance has owned the database for so long that no lease of a former owner or standby
// lasts any more.
func (o *ownership) formerLeasesEnded() bool {
	if o.lacksFormer() {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.acting && o.node.settings.Clock.Since(o.acquired) > hold.LeaseDuration
}

// fence asks a former owner to stop, unless it is known to have stopped, and reports whether it has.
func (o *ownership) fence(ctx context.Context, former hold.Owner, letEnd bool) bool {
	o.mu.Lock()
	stopped, began := o.fenced[former], o.began
	o.mu.Unlock()
	if stopped || o.node.ownerships.hasReportedStop(o.database, former, began) {
		return true
	}
	if !o.requestStop(ctx, former, letEnd) {
		return false
	}
	o.mu.Lock()
	o.fenced[former] = true
	o.mu.Unlock()
	return true
}

// requestStop asks an instance to stop working for the database under any epoch before this ownership's, and reports whether it
// has stopped. Only an answer of the process at the instance's address proves that: one that runs there now has stopped, and a
// former one has ended. A refused or reset connection proves nothing, because a partition may refuse it for a live process.
func (o *ownership) requestStop(ctx context.Context, owner hold.Owner, letEnd bool) bool {
	instance, known := o.node.directory.instance(owner.Instance)
	if !known {
		return false
	}
	reply, err := o.node.call(ctx, instance.PeerAddress, &wire.Call{Kind: &wire.Call_Fence{Fence: &wire.Fence{
		Database: string(o.database), Epoch: uint64(o.lease.Epoch()), LetEnd: letEnd,
	}}})
	stopped := err == nil && reply.GetFenced().GetDone()
	o.node.logger.Info("instance asked to stop working for the database", "database", o.database, "asked", owner.Instance, "letEnd", letEnd,
		"stopped", stopped, "error", err)
	return stopped
}

// stopBefore ends the work under this ownership if its epoch is older than the given one, or if it is that of an acting standby, and
// reports whether it has ended. With letEnd, a former owner takes no new work, and works on until its open transactions have ended.
func (o *ownership) stopBefore(epoch types.Epoch, letEnd bool) bool {
	acting := o.isActing()
	if !acting && o.lease.Epoch() >= epoch {
		return false
	}
	if letEnd && !acting && o.lease.Valid() {
		o.group.Drain()
		if !o.group.IsIdle() {
			return false
		}
	}
	o.lease.Revoke()
	return true
}

// RecordPromotion writes a promotion into the owner record and returns its fencing token, the store's revision of the
// record. It removes the standby and the former owners from the record, since MayPromote has found that they cannot work for
// the database any more.
func (o *ownership) RecordPromotion(ctx context.Context, promotion hold.Promotion) (types.Epoch, error) {
	next := o.current()
	next.Record = next.WithoutFormer()
	next.Promotion, next.Standby = &promotion, nil
	sent := o.node.settings.Clock.Now()
	if err := o.writeRecord(ctx, next, sent); err != nil {
		return 0, err
	}
	return o.lease.Epoch(), nil
}

// errActing means that the owner record names another instance, which is dead.
var errActing = errors.New("a standby that acts for a dead owner does not write the owner record")

// VoidPromotion replaces the recorded promotion if it is still the same one.
func (o *ownership) VoidPromotion(ctx context.Context, promotion hold.Promotion) error {
	if o.isActing() {
		return errActing
	}
	next := o.current()
	if p := next.Promotion; p == nil || p.Void || p.Target != promotion.Target || p.Term != promotion.Term {
		return nil
	}
	next.Promotion = &promotion
	return o.writeRecord(ctx, next, o.node.settings.Clock.Now())
}

// writeRecord replaces the owner record if the store still holds the revision that next carries, and renews the lease from the
// moment sent, at which the call began.
func (o *ownership) writeRecord(ctx context.Context, next ownerRecord, sent clock.Moment) error {
	next = o.stamped(next)
	stored, err := o.putRecord(ctx, next)
	if err != nil {
		return o.resolveConflict(ctx, next, stored.Value, sent, err)
	}
	next.revision = stored.Revision
	o.node.directory.apply(stored)
	o.renew(next, sent)
	return nil
}

// putRecord replaces the owner record if the store still holds the revision that next carries. It returns the new record as
// the store holds it.
func (o *ownership) putRecord(ctx context.Context, next ownerRecord) (Item, error) {
	stored := Item{Key: ownerKey(o.database)}
	var err error
	if stored.Value, err = next.Encode(); err != nil {
		return stored, err
	}
	stored.Revision, err = o.node.store.Put(ctx, stored.Key, stored.Value, next.revision)
	return stored, err
}

// resolveConflict handles a failed write. When the store reports a conflict, an earlier attempt of the same write may have
// taken effect: if the store holds the same value, the write has succeeded.
func (o *ownership) resolveConflict(ctx context.Context, next ownerRecord, value []byte, sent clock.Moment, cause error) error {
	if f := fault.From(cause); f == nil || f.Kind != fault.RevisionConflict {
		return cause
	}
	item, found, err := o.node.store.Get(ctx, ownerKey(o.database))
	if err != nil || !found {
		return cause
	}
	o.node.directory.apply(item)
	if string(item.Value) != string(value) {
		return cause
	}
	next.revision = item.Revision
	o.renew(next, sent)
	return nil
}

// current returns the newest owner record that this ownership knows.
func (o *ownership) current() ownerRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.record
}

// updateRecord replaces the known record if the given one is newer, and updates the standbys.
func (o *ownership) updateRecord(record ownerRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if record.revision > o.record.revision {
		o.record = record
	}
	o.updateStandbys(o.node.settings.Clock.Now())
}

// renew renews the lease from a record that names this instance. The call to the store that read or wrote the record was sent
// at the moment sent.
func (o *ownership) renew(record ownerRecord, sent clock.Moment) {
	o.updateRecord(record)
	o.lease.Renew(types.Epoch(record.revision), sent)
}

// drainTimeout is how long open transactions may go on after the database has got another owner.
const drainTimeout = 3 * time.Second

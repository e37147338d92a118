package peers

import (
	"context"
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/fleet"
)

// writeDue writes all proposals that are ready in one change of the membership as soon as one of them is due. After a
// failure other than a conflict it waits for the backoff.
//
// The type proposal is in proposal.go. Joins and leaves come from propose, which this instance calls for itself and for other
// instances that request the change. Removals come from scheduleRemoval, after this instance's own probe has failed.
func (p *proposer) writeDue(ctx context.Context, now time.Time) {
	p.prune(now)
	if now.Before(p.resumeAt) {
		return
	}
	ready, due := make([]fleet.Change, 0, len(p.pending)), false
	for _, queued := range p.pending {
		due = due || !queued.dueAt.After(now)
		if queued.isReady(now) {
			ready = append(ready, queued.change)
		}
	}
	if !due {
		return
	}
	if err := p.write(ctx, ready); err != nil && !isConflict(err) {
		p.resumeAt = time.Now().Add(p.storeBackoff.nextJittered())
		return
	}
	p.storeBackoff.Reset()
	p.finishReady(now)
}

// finishReady ends the proposals that were ready. A proposal that the membership still does not contain was not allowed
// or lost against a concurrent write; it fails, and its sender may retry.
func (p *proposer) finishReady(now time.Time) {
	members := p.node.membership.current()
	kept := p.pending[:0]
	for _, queued := range p.pending {
		switch {
		case !queued.isReady(now):
			kept = append(kept, queued)
		case members.IsNoOp(queued.change):
			queued.finish(nil)
		default:
			queued.finish(fault.New(fault.RevisionConflict, "the membership changed in the meantime"))
		}
	}
	clear(p.pending[len(kept):])
	p.pending = kept
}

// prune drops the proposals that are already in the membership, have expired or are removals without enough reports.
func (p *proposer) prune(now time.Time) {
	members := p.node.membership.current()
	kept := p.pending[:0]
	for _, queued := range p.pending {
		switch {
		case members.Revision > 0 && members.IsNoOp(queued.change):
			queued.finish(nil)
		case !queued.expiresAt.IsZero() && !now.Before(queued.expiresAt):
			queued.finish(fault.New(fault.StoreUnavailable, "the membership could not be written in time"))
		case queued.expiresAt.IsZero() && !p.isStillSupported(queued.change, now):
		default:
			kept = append(kept, queued)
		}
	}
	clear(p.pending[len(kept):])
	p.pending = kept
}

// isStillSupported reports whether enough instances still report the failure that led to a removal.
func (p *proposer) isStillSupported(change fleet.Change, now time.Time) bool {
	removal, ok := change.(fleet.Remove)
	if !ok {
		return true
	}
	return p.hasEnoughReporters(fleet.IncarnationID(removal), now)
}

// write applies the changes to the membership in the store by compare-and-swap, starting from the newest membership
// that this instance knows.
func (p *proposer) write(ctx context.Context, changes []fleet.Change) error {
	if p.node.membership.current().Revision == 0 {
		if err := p.node.readMembership(ctx); err != nil {
			return err
		}
		if p.isNonMember() {
			return fault.New(fault.RevisionConflict, "other instances write the membership")
		}
	}
	for range maxWriteAttempts {
		err := p.compareAndSwap(ctx, changes)
		if err == nil {
			return nil
		}
		if !isConflict(err) {
			p.node.logger.Warn("membership not written", "reason", err)
			return err
		}
		p.node.counters.MembershipConflicts.Add(1)
		if err := p.node.readMembership(ctx); err != nil {
			return err
		}
		if p.isNonMember() {
			break
		}
	}
	return fault.New(fault.RevisionConflict, "the membership keeps changing")
}

// isNonMember reports whether this instance is missing from a membership that has live instances. The live instances
// write its join: if many instances that start at the same time wrote their own, they would compete for each write.
func (p *proposer) isNonMember() bool {
	members := p.node.membership.current()
	_, found := members.Find(p.node.membership.localInstance().ID)
	return !found && len(members.Live()) > 0
}

func isConflict(err error) bool {
	f := fault.From(err)
	return f != nil && f.Kind == fault.RevisionConflict
}

// maxWriteAttempts bounds the attempts of one write that follow each other without a pause.
const maxWriteAttempts = 4

// compareAndSwap writes the membership known here with the changes, unless it already contains them.
func (p *proposer) compareAndSwap(ctx context.Context, changes []fleet.Change) error {
	members := p.node.membership.current()
	allowed := p.allowed(members, changes)
	next, changed := members.With(allowed)
	if !changed {
		return nil
	}
	value, err := next.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := storeContext(ctx, 0)
	defer cancel()
	p.node.counters.StoreCalls.Add(1)
	revision, err := p.node.settings.Store.Put(ctx, p.node.membershipKey(), value, members.Revision)
	if err != nil {
		p.node.counters.StoreFailures.Add(1)
		return err
	}
	next.Revision = revision
	p.node.counters.MembershipWrites.Add(1)
	p.node.counters.Removals.Add(countRemovals(members, allowed))
	p.node.installMembership(next)
	p.broadcast(next)
	return nil
}

// allowed returns all changes when this incarnation of the instance is a member, and otherwise the changes without the
// removals.
func (p *proposer) allowed(members fleet.Membership, changes []fleet.Change) []fleet.Change {
	self := p.node.membership.localInstance()
	if listed, found := members.Find(self.ID); found && listed.Incarnation == self.Incarnation {
		return changes
	}
	allowed := make([]fleet.Change, 0, len(changes))
	for _, change := range changes {
		if _, removal := change.(fleet.Remove); !removal {
			allowed = append(allowed, change)
		}
	}
	return allowed
}

// countRemovals returns the number of instances that the changes remove from the membership.
func countRemovals(members fleet.Membership, changes []fleet.Change) uint64 {
	count := uint64(0)
	for _, change := range changes {
		if _, removal := change.(fleet.Remove); removal && !members.IsNoOp(change) {
			count++
		}
	}
	return count
}

// readMembership reads the membership from the store and installs it.
func (n *node) readMembership(ctx context.Context) error {
	ctx, cancel := storeContext(ctx, 0)
	defer cancel()
	n.counters.StoreCalls.Add(1)
	value, revision, found, err := n.settings.Store.Get(ctx, n.membershipKey())
	if err != nil {
		n.counters.StoreFailures.Add(1)
		return err
	}
	if !found {
		return nil
	}
	members, err := fleet.DecodeMembership(value, revision)
	if err != nil {
		return err
	}
	n.installMembership(members)
	return nil
}

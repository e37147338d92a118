package peers

import (
	"context"
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/fleet"
)

// flush writes everything that is ready in one change of the membership as soon as anything is due.
func (p *proposer) flush(ctx context.Context, now time.Time) {
	p.prune(now)
	if now.Before(p.resume) {
		return
	}
	ready, due := make([]fleet.Change, 0, len(p.pending)), false
	for _, one := range p.pending {
		due = due || !one.due.After(now)
		if one.isReady(now) {
			ready = append(ready, one.change)
		}
	}
	if !due {
		return
	}
	if err := p.write(ctx, ready); err != nil && !isConflict(err) {
		p.resume = time.Now().Add(p.pause.pause())
		return
	}
	p.pause.Reset()
	p.settle(now)
}

// settle ends the proposals that were ready; those that the membership still lacks were not allowed or lost a race, and
// whoever wants them asks again.
func (p *proposer) settle(now time.Time) {
	members := p.node.roster.current()
	kept := p.pending[:0]
	for _, one := range p.pending {
		switch {
		case !one.isReady(now):
			kept = append(kept, one)
		case members.IsNoOp(one.change):
			one.finish(nil)
		default:
			one.finish(fault.New(fault.RevisionConflict, "the membership changed in the meantime"))
		}
	}
	clear(p.pending[len(kept):])
	p.pending = kept
}

// prune drops the proposals that are fulfilled, expired or no longer supported.
func (p *proposer) prune(now time.Time) {
	members := p.node.roster.current()
	kept := p.pending[:0]
	for _, one := range p.pending {
		switch {
		case members.Revision > 0 && members.IsNoOp(one.change):
			one.finish(nil)
		case !one.expires.IsZero() && !now.Before(one.expires):
			one.finish(fault.New(fault.StoreUnavailable, "the membership could not be written in time"))
		case one.expires.IsZero() && !p.stands(one.change, now):
		default:
			kept = append(kept, one)
		}
	}
	clear(p.pending[len(kept):])
	p.pending = kept
}

// stands reports whether a removal after a failure is still supported.
func (p *proposer) stands(change fleet.Change, now time.Time) bool {
	removal, ok := change.(fleet.Remove)
	if !ok {
		return true
	}
	return p.supported(fleet.IncarnationID(removal), now)
}

// write replaces the membership in the store by compare-and-swap, starting from the newest one known here.
func (p *proposer) write(ctx context.Context, changes []fleet.Change) error {
	if p.node.roster.current().Revision == 0 {
		if err := p.node.readMembership(ctx); err != nil {
			return err
		}
		if p.isOutsider() {
			return fault.New(fault.RevisionConflict, "other instances write the membership")
		}
	}
	for range maxWriteAttempts {
		err := p.swap(ctx, changes)
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
		if p.isOutsider() {
			break
		}
	}
	return fault.New(fault.RevisionConflict, "the membership keeps changing")
}

// isOutsider reports whether this instance is missing from a membership that has live instances; they write for it, so
// that many instances that start together do not race for every write.
func (p *proposer) isOutsider() bool {
	members := p.node.roster.current()
	_, found := members.Find(p.node.roster.own().ID)
	return !found && len(members.Live()) > 0
}

func isConflict(err error) bool {
	f := fault.From(err)
	return f != nil && f.Kind == fault.RevisionConflict
}

// maxWriteAttempts bounds the attempts that follow one another without a pause.
const maxWriteAttempts = 4

// swap writes the present membership with the changes unless it already contains them.
func (p *proposer) swap(ctx context.Context, changes []fleet.Change) error {
	members := p.node.roster.current()
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
	p.node.counters.Removals.Add(removals(members, allowed))
	p.node.install(next)
	p.spread(next)
	return nil
}

// allowed leaves out removals when this instance has itself been removed.
func (p *proposer) allowed(members fleet.Membership, changes []fleet.Change) []fleet.Change {
	self := p.node.roster.own()
	if listed, found := members.Find(self.ID); found && listed.Incarnation == self.Incarnation {
		return changes
	}
	allowed := make([]fleet.Change, 0, len(changes))
	for _, c := range changes {
		if _, removal := c.(fleet.Remove); !removal {
			allowed = append(allowed, c)
		}
	}
	return allowed
}

// removals counts the instances that the changes take out of the membership.
func removals(members fleet.Membership, changes []fleet.Change) uint64 {
	count := uint64(0)
	for _, c := range changes {
		if _, removal := c.(fleet.Remove); removal && !members.IsNoOp(c) {
			count++
		}
	}
	return count
}

// readMembership reads the membership from the store.
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
	n.install(members)
	return nil
}

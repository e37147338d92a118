package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/fault"
	"turmericpulley/core/trace"
	"turmericpulley/core/types"
	"turmericpulley/io/pgcli"
)

// tryReplicas runs a batch on replicas that are recent enough for the session; done is false when the primary must run it.
// A replica refuses writes by itself, so an attempt without an answer had no effect and may be repeated.
func (t *transaction) tryReplicas(ctx context.Context, payload []byte) (done bool, err error) {
	tried := map[types.TargetID]bool{}
	for {
		floor := t.owner.floors.For(t.session)
		r, ok := t.chooseReplica(floor, tried)
		if !ok {
			return false, nil
		}
		if len(tried) > 0 {
			if !t.owner.budget.AllowRetry() {
				return false, nil
			}
			t.owner.settings.Counters.Retries.Add(1)
		}
		tried[r.target] = true
		result, err := t.tryReplica(ctx, r, floor, payload)
		switch result {
		case answered:
			return true, err
		case tryPrimary:
			return false, nil
		case tryAnother:
		}
	}
}

// chooseReplica returns the least busy replica that shows at least the floor.
func (t *transaction) chooseReplica(floor types.Position, tried map[types.TargetID]bool) (replica, bool) {
	var best replica
	bestLoad := 0
	found := false
	for _, r := range t.owner.state.replicas(time.Now(), t.maxAge()) {
		if tried[r.target] || r.applied < floor {
			continue
		}
		held, waiting := t.owner.members[r.target].pool.gate.InUse()
		load := held + waiting
		if !found || load < bestLoad || (load == bestLoad && r.applied > best.applied) {
			best, bestLoad, found = r, load, true
		}
	}
	return best, found
}

// stillRecent reports whether the replica may still answer after the wait for a connection to it.
func (t *transaction) stillRecent(chosen replica, floor types.Position) bool {
	for _, r := range t.owner.state.replicas(time.Now(), t.maxAge()) {
		if r.target == chosen.target {
			return r.applied >= floor
		}
	}
	return false
}

func (t *transaction) tryReplica(ctx context.Context, r replica, floor types.Position, payload []byte) (attempt, error) {
	t.attempts++
	m := t.owner.members[r.target]
	p := m.pool
	c, err := p.take(ctx, t.session.Customer, t.limits)
	if err != nil {
		if f := fault.From(err); f != nil {
			return answered, f
		}
		return tryAnother, nil
	}
	if !t.stillRecent(r, floor) {
		p.put(c, true)
		return tryAnother, nil
	}
	if err := t.recheck(); err != nil {
		p.put(c, true)
		return answered, err
	}
	t.note(trace.Event{Step: trace.Sent, Target: r.target, Replica: true})
	var a answer
	err = t.exchange(ctx, m.info, c, true, payload, func() error { return t.readReplica(c, &a) })
	switch {
	case err != nil:
		p.put(c, false)
		return t.replicaFailed(ctx, r)
	case a.refusedWrite && !t.relayed:
		p.put(c, a.status == pgcli.StatusIdle)
		t.owner.settings.Writes.Add(t.begin.GetStatementHash())
		t.note(trace.Event{Step: trace.Retried, Target: r.target, Replica: true, Detail: "the replica refused a write"})
		return tryPrimary, nil
	case a.status != pgcli.StatusIdle && t.begin.GetReadOnly():
		_, term := t.owner.state.primaryAndTerm()
		return answered, t.continueBlock(ctx, grant{conn: c, pool: p, target: r.target, term: term, readOnly: true, chosen: r}, &a)
	case a.status != pgcli.StatusIdle:
		p.put(c, false)
		t.owner.settings.Writes.Add(t.begin.GetStatementHash())
		return tryPrimary, nil
	}
	position := c.Position()
	p.put(c, true)
	return t.answerFromReplica(r, floor, position, &a)
}

func (t *transaction) answerFromReplica(r replica, floor, position types.Position, a *answer) (attempt, error) {
	switch {
	case t.owner.state.promotedSince(r):
		return answered, errPromotedMeanwhile()
	case position < floor && !t.relayed:
		return tryAnother, nil
	case position < floor, !t.owner.state.leaseHolds():
		return answered, fault.New(fault.LeaseLost, "the owner could not confirm that the answer was current")
	}
	t.owner.floors.Record(t.session, position)
	_, term := t.owner.state.primaryAndTerm()
	t.note(trace.Event{Step: trace.Answered, Target: r.target, Replica: true, Term: term, Position: position})
	return answered, t.finish(a.take(), r.target, true, term, position)
}

func (t *transaction) replicaFailed(ctx context.Context, r replica) (attempt, error) {
	t.note(trace.Event{Step: trace.Retried, Target: r.target, Replica: true, Detail: "the replica did not answer"})
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return answered, errCallerGone
	case ctx.Err() != nil:
		return answered, notRunTimeout()
	case t.owner.state.promotedSince(r):
		return answered, errPromotedMeanwhile()
	case t.relayed:
		return answered, fault.New(fault.LeaseLost, "the replica stopped in the middle of its answer")
	default:
		return tryAnother, nil
	}
}

// errPromotedMeanwhile reports an attempt at a replica that became primary before the attempt ended, so that a batch which
// insists on writing may have written.
func errPromotedMeanwhile() *fault.Fault {
	return fault.New(fault.OutcomeUnknown, "the replica became primary while the request ran there")
}

func notRunTimeout() *fault.Fault {
	f := fault.New(fault.StatementTimeout, "the read took longer than its time")
	f.Outcome = fault.NotRun
	return f
}

// readReplica reads an answer; it is held back whole while it is small enough to run again elsewhere.
func (t *transaction) readReplica(c *pooled, a *answer) error {
	for !a.ended() {
		m, err := c.Read()
		if err != nil {
			return err
		}
		a.add(m)
		if !a.ended() && (len(a.held) > replayBytes || (t.relayed && len(a.held) > frameBytes)) && t.owner.state.leaseHolds() {
			if err := t.relay(a.take()); err != nil {
				return err
			}
		}
	}
	return nil
}

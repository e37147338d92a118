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

// tryReplicas runs a batch on a replica that has applied the session's minimum position; done is false when the primary has to
// run it. Replicas refuse writes, so an attempt without an answer had no effect and may be repeated on another replica.
func (t *transaction) tryReplicas(ctx context.Context, payload []byte) (done bool, err error) {
	tried := map[types.TargetID]bool{}
	for {
		minPosition := t.owner.minPositions.For(t.session)
		r, ok := t.chooseReplica(minPosition, tried)
		if !ok {
			return false, nil
		}
		if len(tried) > 0 {
			if !t.owner.retryBudget.AllowRetry() {
				return false, nil
			}
			t.owner.settings.Counters.Retries.Add(1)
		}
		tried[r.target] = true
		result, err := t.tryReplica(ctx, r, minPosition, payload)
		switch result {
		case outcomeFinal:
			return true, err
		case outcomeTryPrimary:
			return false, nil
		case outcomeTryAnother:
		}
	}
}

// chooseReplica returns an eligible replica that was not tried yet and has applied the minimum position. It prefers the one with
// the fewest connections in use and requests waiting for one, and among equals the one that has applied the most.
func (t *transaction) chooseReplica(minPosition types.Position, tried map[types.TargetID]bool) (replica, bool) {
	var best replica
	bestLoad := 0
	found := false
	for _, r := range t.owner.state.eligibleReplicas(time.Now(), t.maxAge()) {
		if tried[r.target] || r.applied < minPosition {
			continue
		}
		inUse, waiting := t.owner.members[r.target].pool.limiter.InUse()
		load := inUse + waiting
		if !found || load < bestLoad || (load == bestLoad && r.applied > best.applied) {
			best, bestLoad, found = r, load, true
		}
	}
	return best, found
}

// stillRecent reports whether the replica's data is still recent enough after the wait for a connection to it.
func (t *transaction) stillRecent(chosen replica, minPosition types.Position) bool {
	for _, r := range t.owner.state.eligibleReplicas(time.Now(), t.maxAge()) {
		if r.target == chosen.target {
			return r.applied >= minPosition
		}
	}
	return false
}

func (t *transaction) tryReplica(ctx context.Context, r replica, minPosition types.Position, payload []byte) (attemptOutcome, error) {
	t.attempts++
	m := t.owner.members[r.target]
	p := m.pool
	c, err := p.acquire(ctx, t.session.Customer, t.limits)
	if err != nil {
		if f := fault.From(err); f != nil {
			return outcomeFinal, f
		}
		return outcomeTryAnother, nil
	}
	if !t.stillRecent(r, minPosition) {
		p.release(c, true)
		return outcomeTryAnother, nil
	}
	if err := t.recheck(); err != nil {
		p.release(c, true)
		return outcomeFinal, err
	}
	t.recordEvent(trace.Event{Step: trace.Sent, Target: r.target, Replica: true})
	var a answer
	err = t.exchange(ctx, m.info, c, true, pgcli.AppendGuard(payload), func() error { return t.readReplicaAnswer(c, &a) })
	switch {
	case err != nil:
		p.release(c, false)
		return t.replicaFailure(ctx, r)
	case a.refusedWrite && !t.relayed:
		p.release(c, a.status == pgcli.StatusIdle)
		t.owner.settings.Writes.Add(t.begin.GetStatementHash())
		t.recordEvent(trace.Event{Step: trace.Retried, Target: r.target, Replica: true, Detail: "the replica refused a write"})
		return outcomeTryPrimary, nil
	case a.status != pgcli.StatusIdle && t.begin.GetReadOnly():
		_, term := t.owner.state.primaryAndTerm()
		return outcomeFinal, t.continueBlock(ctx, memberConn{conn: c, pool: p, target: r.target, term: term, readOnly: true, chosen: r}, &a)
	case a.status != pgcli.StatusIdle:
		p.release(c, false)
		t.owner.settings.Writes.Add(t.begin.GetStatementHash())
		return outcomeTryPrimary, nil
	}
	position := c.Position()
	p.release(c, true)
	return t.answerFromReplica(r, minPosition, position, &a)
}

func (t *transaction) answerFromReplica(r replica, minPosition, position types.Position, a *answer) (attemptOutcome, error) {
	switch {
	case t.owner.state.promotedSince(r):
		return outcomeFinal, errPromotedMeanwhile()
	case position < minPosition && !t.relayed:
		return outcomeTryAnother, nil
	case position < minPosition, !t.owner.state.leaseValid():
		return outcomeFinal, fault.New(fault.LeaseLost, "the owner could not confirm that the answer was current")
	}
	t.owner.minPositions.Record(t.session, position)
	_, term := t.owner.state.primaryAndTerm()
	t.recordEvent(trace.Event{Step: trace.Answered, Target: r.target, Replica: true, Term: term, Position: position})
	return outcomeFinal, t.finish(a.take(), r.target, true, term, position)
}

func (t *transaction) replicaFailure(ctx context.Context, r replica) (attemptOutcome, error) {
	t.recordEvent(trace.Event{Step: trace.Retried, Target: r.target, Replica: true, Detail: "the replica did not answer"})
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return outcomeFinal, errCallerGone
	case ctx.Err() != nil:
		return outcomeFinal, errTimeoutNotRun()
	case t.owner.state.promotedSince(r):
		return outcomeFinal, errPromotedMeanwhile()
	case t.relayed:
		return outcomeFinal, fault.New(fault.LeaseLost, "the replica stopped in the middle of its answer")
	default:
		return outcomeTryAnother, nil
	}
}

// errPromotedMeanwhile reports that a replica became primary before an attempt on it ended. A batch that begins a
// read-write transaction by itself may have written there.
func errPromotedMeanwhile() *fault.Fault {
	return fault.New(fault.OutcomeUnknown, "the replica became primary while the request ran there")
}

func errTimeoutNotRun() *fault.Fault {
	f := fault.New(fault.StatementTimeout, "the read exceeded its timeout")
	f.Outcome = fault.NotRun
	return f
}

// readReplicaAnswer reads an answer. It holds the answer up to a limit, so that the batch can still run on another member.
func (t *transaction) readReplicaAnswer(c *pooledConn, a *answer) error {
	for !a.ended() {
		m, err := c.Read()
		if err != nil {
			return err
		}
		a.add(m)
		if !a.ended() && (len(a.held) > maxReplayBytes || (t.relayed && len(a.held) > relayChunkBytes)) && t.owner.state.leaseValid() {
			if err := t.relay(a.take()); err != nil {
				return err
			}
		}
	}
	return c.ReadGuard(a.status)
}

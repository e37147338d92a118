package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/fault"
	"turmericpulley/core/pause"
	"turmericpulley/core/trace"
	"turmericpulley/core/types"
	"turmericpulley/io/pgcli"
)

// primaryRetryDelay is the pause before the primary is looked up again after it could not be reached or was replaced.
const primaryRetryDelay = 20 * time.Millisecond

// memberConn is a connection to the primary of a term, or to a replica for a read-only transaction block.
type memberConn struct {
	conn   *pooledConn
	pool   *pool
	target types.TargetID
	term   types.Term
	// readOnly is set when the connection is to a replica, which chosen describes.
	readOnly bool
	chosen   replica
}

func (mc memberConn) release(clean bool) { mc.pool.release(mc.conn, clean) }

// runOnPrimary runs a transaction on the primary. A batch that was sent is sent again only when the target refused it
// because it is no longer primary, which proves that the batch did not run.
func (t *transaction) runOnPrimary(ctx context.Context, payload []byte, ended bool) error {
	for {
		mc, err := t.acquirePrimary(ctx)
		if err != nil {
			return err
		}
		t.attempts++
		t.recordEvent(trace.Event{Step: trace.Sent, Target: mc.target, Term: mc.term})
		var a answer
		if err := t.runBatch(ctx, mc, payload, ended, &a); err != nil {
			mc.release(false)
			return t.primaryFailure(ctx, err)
		}
		if a.refusedWrite && !a.completed && ended && a.status == pgcli.StatusIdle && !t.relayed && !t.begin.GetReadOnly() {
			mc.release(true)
			t.recordEvent(trace.Event{Step: trace.Retried, Target: mc.target, Term: mc.term, Detail: "the former primary refused the write"})
			if !pause.For(ctx, primaryRetryDelay) {
				return fault.New(fault.NoPrimary, "the database has no primary")
			}
			continue
		}
		if a.status == pgcli.StatusIdle {
			return t.answerWhenCommitted(ctx, mc, &a)
		}
		return t.continueBlock(ctx, mc, &a)
	}
}

// acquirePrimary waits for a primary and a connection to it; when it fails, nothing has been sent.
func (t *transaction) acquirePrimary(ctx context.Context) (memberConn, error) {
	until := time.Now().Add(t.limits.QueueTimeout)
	for {
		target, term, err := t.awaitPrimary(ctx, until)
		if err != nil {
			return memberConn{}, err
		}
		if t.owner.state.isCommitStalled(time.Now()) {
			return memberConn{}, fault.New(fault.ReplicationBehind, "no majority of members keeps up with the primary")
		}
		p := t.owner.members[target].pool
		c, err := p.acquire(ctx, t.session.Customer, t.limits)
		if f := fault.From(err); f != nil {
			return memberConn{}, f
		}
		if err == nil {
			mc := memberConn{conn: c, pool: p, target: target, term: term}
			if t.owner.state.isCurrentPrimary(target, term) {
				return t.recheckOrRelease(mc)
			}
			mc.release(true)
		}
		if time.Now().After(until) || !pause.For(ctx, primaryRetryDelay) {
			return memberConn{}, fault.New(fault.NoPrimary, "the primary could not be reached in time")
		}
	}
}

// recheckOrRelease returns the connection, or releases it and returns why the transaction may no longer run.
func (t *transaction) recheckOrRelease(mc memberConn) (memberConn, error) {
	if err := t.recheck(); err != nil {
		mc.release(true)
		return memberConn{}, err
	}
	return mc, nil
}

func (t *transaction) awaitPrimary(ctx context.Context, until time.Time) (types.TargetID, types.Term, error) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		changed := t.owner.state.changes()
		target, term, p := t.owner.state.primaryAndPhase()
		switch p {
		case serving:
			return target, term, nil
		case lost:
			return "", 0, errNotOwner()
		case claiming, electing, switching:
		}
		select {
		case <-changed:
		case <-timer.C:
			return "", 0, fault.New(fault.NoPrimary, "the database has no primary")
		case <-ctx.Done():
			return "", 0, fault.New(fault.NoPrimary, "the database has no primary")
		}
	}
}

// runBatch sends one batch and reads its answer. For a batch of one frame, the part of the answer from the first completed
// command on is held until a majority has confirmed the command.
func (t *transaction) runBatch(ctx context.Context, mc memberConn, payload []byte, ended bool, a *answer) error {
	if ended {
		payload = pgcli.AppendGuard(payload)
	}
	return t.exchange(ctx, t.owner.members[mc.target].info, mc.conn, mc.readOnly, payload, func() error {
		if !ended {
			go t.sendRemainingFrames(ctx, mc.conn)
		}
		for !a.ended() {
			m, err := mc.conn.Read()
			if err != nil {
				return err
			}
			a.add(m)
			if err := t.hold(a); err != nil {
				return err
			}
			if !a.ended() && t.mayRelay(mc, a, ended) && t.owner.state.leaseValid() {
				if err := t.relayPart(ctx, mc, a); err != nil {
					return err
				}
			}
		}
		return mc.conn.ReadGuard(a.status)
	})
}

// relayPart sends the part of the answer that has been read to the caller. If it contains the end of a committed block, that is
// confirmed first.
func (t *transaction) relayPart(ctx context.Context, mc memberConn, a *answer) error {
	if err := t.awaitCommitInBlock(ctx, mc, a); err != nil {
		return err
	}
	a.committedBlock = false
	return t.relay(a.take())
}

// mayRelay reports whether the messages read so far may be sent to the caller before the answer is complete. For a batch of
// several frames they are sent as they arrive, even after a completed command, once a commit among them is confirmed: the caller may have sent a flush and wait for
// them before it sends the rest of the batch.
func (t *transaction) mayRelay(mc memberConn, a *answer, ended bool) bool {
	if ended {
		return !a.completed && len(a.held) > relayChunkBytes
	}
	return !mc.conn.HasUnreadBytes()
}

// sendRemainingFrames sends the rest of a batch of several frames. A batch is sent in several frames when it contains a flush or
// is too large for one.
func (t *transaction) sendRemainingFrames(ctx context.Context, c *pooledConn) {
	for {
		payload, ended, err := t.nextFrame(ctx)
		if err != nil {
			return
		}
		if ended {
			payload = pgcli.AppendGuard(payload)
		}
		if err := c.Send(payload); err != nil || ended {
			return
		}
	}
}

// releaseAndAwaitCommit releases the connection and waits until a majority holds the position of its last answer.
func (t *transaction) releaseAndAwaitCommit(ctx context.Context, mc memberConn) error {
	position := mc.conn.Position()
	mc.release(true)
	return t.awaitCommit(ctx, mc.term, position)
}

// awaitCommit waits until a majority holds the position, and then records it as the session's minimum position.
func (t *transaction) awaitCommit(ctx context.Context, term types.Term, position types.Position) error {
	if err := t.owner.state.awaitCommitted(ctx, term, position); err != nil {
		return err
	}
	if !t.owner.state.leaseValid() {
		return fault.New(fault.OutcomeUnknown, "the owner could not confirm that it still owns the database")
	}
	t.owner.minPositions.Record(t.session, position)
	return nil
}

// answerWhenCommitted waits until a majority holds the position of the answer, then sends the answer to the caller.
func (t *transaction) answerWhenCommitted(ctx context.Context, mc memberConn, a *answer) error {
	position := mc.conn.Position()
	if err := t.releaseAndAwaitCommit(ctx, mc); err != nil {
		return err
	}
	t.recordEvent(trace.Event{Step: trace.Confirmed, Target: mc.target, Term: mc.term, Position: position})
	return t.finish(a.take(), mc.target, false, mc.term, position)
}

// primaryFailure returns the error for the caller after a batch was sent to the primary and not answered, or not confirmed.
func (t *transaction) primaryFailure(ctx context.Context, err error) error {
	if f := fault.From(err); f != nil && (f.Kind == fault.OutcomeUnknown || f.Kind == fault.InvalidSettings) {
		return f
	}
	switch {
	case errors.Is(err, errCallerGone):
		return err
	case errors.Is(ctx.Err(), context.Canceled):
		return errCallerGone
	case ctx.Err() != nil:
		return fault.New(fault.StatementTimeout, "the request exceeded its timeout")
	case errors.Is(err, pgcli.ErrMisplacedAnswer):
		return fault.New(fault.OutcomeUnknown, "the primary sent an answer that does not belong to the request")
	default:
		return fault.New(fault.OutcomeUnknown, "the connection to the primary broke after the request was sent")
	}
}

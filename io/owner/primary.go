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

// primaryRetryDelay is the pause before the primary is looked up again after it could not be reached.
const primaryRetryDelay = 20 * time.Millisecond

// memberConn is a connection to the primary of a term.
type memberConn struct {
	conn   *pooledConn
	pool   *pool
	target types.TargetID
	term   types.Term
	// readOnly tells that the target is used as a replica, the one that was chosen.
	readOnly bool
	chosen   replica
}

func (g memberConn) release(clean bool) { g.pool.release(g.conn, clean) }

// runOnPrimary runs a transaction on the primary. Once a batch has been sent it is never sent again, unless the target's
// own refusal proves that it did not run.
func (t *transaction) runOnPrimary(ctx context.Context, payload []byte, ended bool) error {
	for {
		g, err := t.acquirePrimary(ctx)
		if err != nil {
			return err
		}
		t.attempts++
		t.recordEvent(trace.Event{Step: trace.Sent, Target: g.target, Term: g.term})
		var a answer
		if err := t.runBatch(ctx, g, payload, ended, &a); err != nil {
			g.release(false)
			return t.primaryFailure(ctx, err)
		}
		if a.refusedWrite && !a.completed && ended && a.status == pgcli.StatusIdle && !t.relayed && !t.begin.GetReadOnly() {
			g.release(true)
			t.recordEvent(trace.Event{Step: trace.Retried, Target: g.target, Term: g.term, Detail: "the primary was replaced and refused"})
			if !pause.For(ctx, primaryRetryDelay) {
				return fault.New(fault.NoPrimary, "the database has no primary")
			}
			continue
		}
		if a.status == pgcli.StatusIdle {
			return t.answerWhenCommitted(ctx, g, &a)
		}
		return t.continueBlock(ctx, g, &a)
	}
}

// acquirePrimary waits for a primary and a connection to it; nothing has been sent when it fails.
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
			g := memberConn{conn: c, pool: p, target: target, term: term}
			if t.owner.state.isCurrentPrimary(target, term) {
				return t.recheckOrRelease(g)
			}
			g.release(true)
		}
		if time.Now().After(until) || !pause.For(ctx, primaryRetryDelay) {
			return memberConn{}, fault.New(fault.NoPrimary, "the primary could not be reached in time")
		}
	}
}

// recheckOrRelease returns the grant unless the transaction may no longer run.
func (t *transaction) recheckOrRelease(g memberConn) (memberConn, error) {
	if err := t.recheck(); err != nil {
		g.release(true)
		return memberConn{}, err
	}
	return g, nil
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
			return "", 0, errLost()
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

// runBatch sends one batch and reads the answer; what follows the first completed command is held back.
func (t *transaction) runBatch(ctx context.Context, g memberConn, payload []byte, ended bool, a *answer) error {
	return t.exchange(ctx, t.owner.members[g.target].info, g.conn, g.readOnly, payload, func() error {
		if !ended {
			go t.sendRemainingFrames(ctx, g.conn)
		}
		for !a.ended() {
			m, err := g.conn.Read()
			if err != nil {
				return err
			}
			a.add(m)
			if len(a.held) > maxHeldBytes {
				return errors.New("the answer after a completed command is too large to hold; send smaller batches")
			}
			if !a.ended() && t.mayRelay(g, a, ended) && t.owner.state.leaseValid() {
				if err := t.relay(a.take()); err != nil {
					return err
				}
			}
		}
		return nil
	})
}

func (t *transaction) mayRelay(g memberConn, a *answer, ended bool) bool {
	if ended {
		return !a.completed && len(a.held) > relayChunkBytes
	}
	return !g.conn.HasUnreadBytes()
}

// sendRemainingFrames sends the rest of a batch whose first part ended with a flush.
func (t *transaction) sendRemainingFrames(ctx context.Context, c *pooledConn) {
	for {
		payload, ended, err := t.nextFrame(ctx)
		if err != nil {
			return
		}
		if err := c.Send(payload); err != nil || ended {
			return
		}
	}
}

// releaseAndAwaitCommit releases the connection and waits until a majority holds what its last answer covers.
func (t *transaction) releaseAndAwaitCommit(ctx context.Context, g memberConn) error {
	position := g.conn.Position()
	g.release(true)
	return t.awaitCommit(ctx, g.term, position)
}

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

// answerWhenCommitted waits until a majority holds what the answer covers, then answers.
func (t *transaction) answerWhenCommitted(ctx context.Context, g memberConn, a *answer) error {
	position := g.conn.Position()
	if err := t.releaseAndAwaitCommit(ctx, g); err != nil {
		return err
	}
	t.recordEvent(trace.Event{Step: trace.Confirmed, Target: g.target, Term: g.term, Position: position})
	return t.finish(a.take(), g.target, false, g.term, position)
}

func (t *transaction) primaryFailure(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, errCallerGone):
		return err
	case errors.Is(ctx.Err(), context.Canceled):
		return errCallerGone
	case ctx.Err() != nil:
		return fault.New(fault.StatementTimeout, "the request took longer than its time")
	default:
		return fault.New(fault.OutcomeUnknown, "the connection to the primary broke after the request was sent")
	}
}

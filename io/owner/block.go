package owner

import (
	"context"
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/quorum"
	"turmericpulley/io/pgcli"
)

// idleTransactionTimeout bounds how long a transaction block may hold a connection without a statement.
const idleTransactionTimeout = time.Minute

// continueBlock keeps a connection for the batches of a transaction block until the block ends. The grant's term stays
// the one under which the block began, so that a primary replaced meanwhile cannot have the block confirmed.
func (t *transaction) continueBlock(ctx context.Context, g memberConn, a *answer) error {
	streamContext := context.WithoutCancel(ctx)
	for {
		if !t.owner.state.leaseValid() {
			g.release(false)
			return t.blockFailure(a)
		}
		if err := t.awaitCommitInBlock(streamContext, g, a); err != nil {
			g.release(false)
			return err
		}
		if err := t.relay(a.take()); err != nil {
			g.release(false)
			return err
		}
		payload, ended, err := t.nextFrameInBlock(streamContext)
		if err != nil {
			g.release(false)
			return err
		}
		done, err := t.runBlockBatch(streamContext, g, payload, ended, a)
		if done || err != nil {
			return err
		}
	}
}

func (t *transaction) nextFrameInBlock(ctx context.Context) (payload []byte, ended bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, idleTransactionTimeout)
	defer cancel()
	return t.nextFrame(ctx)
}

// runBlockBatch runs one batch of a block; done tells that the block has ended and the caller has its answer.
func (t *transaction) runBlockBatch(
	ctx context.Context, g memberConn, payload []byte, ended bool, a *answer,
) (done bool, err error) {
	ctx, cancel := t.batchContext(ctx)
	defer cancel()
	if !g.readOnly && !g.conn.Reusable() {
		g.release(false)
		return true, errBlockLost()
	}
	*a = answer{}
	if err := t.runBatch(ctx, g, payload, ended, a); err != nil {
		g.release(false)
		return true, t.primaryFailure(ctx, err)
	}
	if a.status != pgcli.StatusIdle {
		return false, nil
	}
	if !g.readOnly {
		return true, t.answerWhenCommitted(ctx, g, a)
	}
	position := g.conn.Position()
	g.release(true)
	_, err = t.answerFromReplica(g.chosen, 0, position, a)
	return true, err
}

// blockFailure reports a block that cannot go on; what an earlier command of its last batch committed stays unconfirmed.
func (t *transaction) blockFailure(a *answer) error {
	if a.committedBlock {
		return fault.New(fault.OutcomeUnknown, "the owner could not confirm that it still owns the database")
	}
	return errBlockLost()
}

// awaitCommitInBlock waits for the confirmation of what a batch committed before it opened the next block. The member reports
// no position inside a block, so the position of the primary after the answer is awaited.
func (t *transaction) awaitCommitInBlock(ctx context.Context, g memberConn, a *answer) error {
	if !a.committedBlock || g.readOnly {
		return nil
	}
	ctx, cancel := t.batchContext(ctx)
	defer cancel()
	observed, err := t.owner.callMember(ctx, g.target, func(c *controlConn) (quorum.Observation, error) { return c.status() })
	if err != nil || observed.Term != g.term {
		return fault.New(fault.OutcomeUnknown, "the primary did not confirm the transaction before the open one")
	}
	return t.awaitCommit(ctx, g.term, observed.Position)
}

// errBlockLost reports a block whose connection ended between two batches, which rolls the block back.
func errBlockLost() *fault.Fault {
	return fault.New(fault.NoPrimary, "the primary was replaced and the transaction block was rolled back")
}

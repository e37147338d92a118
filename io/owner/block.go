package owner

import (
	"context"
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/quorum"
	"turmericpulley/io/pgcli"
)

// idleTransactionTimeout bounds how long a transaction block may keep a connection without a statement.
const idleTransactionTimeout = time.Minute

// continueBlock keeps a connection for the batches of a transaction block until the block ends. The block is confirmed only
// under the term in which it began, so it cannot be confirmed if the primary is replaced meanwhile.
func (t *transaction) continueBlock(ctx context.Context, mc memberConn, a *answer) error {
	blockContext := context.WithoutCancel(ctx)
	for {
		if !t.owner.state.leaseValid() {
			mc.release(false)
			return t.blockFailure(a)
		}
		if err := t.awaitCommitInBlock(blockContext, mc, a); err != nil {
			mc.release(false)
			return err
		}
		if err := t.relay(a.take()); err != nil {
			mc.release(false)
			return err
		}
		payload, ended, err := t.nextFrameInBlock(blockContext)
		if err != nil {
			mc.release(false)
			return err
		}
		done, err := t.runBlockBatch(blockContext, mc, payload, ended, a)
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

// runBlockBatch runs one batch of a block. done reports that the block has ended: the connection was released and, without an
// error, the caller has its answer.
func (t *transaction) runBlockBatch(
	ctx context.Context, mc memberConn, payload []byte, ended bool, a *answer,
) (done bool, err error) {
	ctx, cancel := t.batchContext(ctx)
	defer cancel()
	if !mc.readOnly && !mc.conn.Reusable() {
		mc.release(false)
		return true, errBlockLost()
	}
	*a = answer{}
	if err := t.runBatch(ctx, mc, payload, ended, a); err != nil {
		mc.release(false)
		return true, t.primaryFailure(ctx, err)
	}
	if a.status != pgcli.StatusIdle {
		return false, nil
	}
	if !mc.readOnly {
		return true, t.answerWhenCommitted(ctx, mc, a)
	}
	position := mc.conn.Position()
	mc.release(true)
	_, err = t.answerFromReplica(mc.chosen, 0, position, a)
	return true, err
}

// blockFailure returns the error for a block that cannot continue. The outcome is unknown if its last batch committed an
// earlier block, because that commit is not confirmed.
func (t *transaction) blockFailure(a *answer) error {
	if a.committedBlock {
		return fault.New(fault.OutcomeUnknown, "the owner could not confirm that it still owns the database")
	}
	return errBlockLost()
}

// awaitCommitInBlock waits for the confirmation of a block that a batch committed before its end, if there is one. The member
// reports no position inside a block, so the position that the primary reports after the answer is awaited.
func (t *transaction) awaitCommitInBlock(ctx context.Context, mc memberConn, a *answer) error {
	if !a.committedBlock || mc.readOnly {
		return nil
	}
	ctx, cancel := t.batchContext(ctx)
	defer cancel()
	observed, err := t.owner.callMember(ctx, mc.target, func(c *controlConn) (quorum.Observation, error) { return c.status() })
	if err != nil || observed.Term != mc.term {
		return fault.New(fault.OutcomeUnknown, "the primary did not confirm the transaction before the open one")
	}
	return t.awaitCommit(ctx, mc.term, observed.Position)
}

// errBlockLost reports that a block's connection ended between two batches, which rolls the block back.
func errBlockLost() *fault.Fault {
	return fault.New(fault.NoPrimary, "the connection to the primary was lost and the transaction block was rolled back")
}

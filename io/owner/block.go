package owner

import (
	"context"
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/quorum"
	"turmericpulley/io/pgcli"
)

// idleTransactionLimit bounds how long a transaction block may hold a connection without a statement.
const idleTransactionLimit = time.Minute

// continueBlock keeps a connection for the batches of a transaction block until the block ends. The grant's term stays
// the one under which the block began, so that a primary replaced meanwhile cannot have the block confirmed.
func (t *transaction) continueBlock(ctx context.Context, g grant, a *answer) error {
	streamContext := context.WithoutCancel(ctx)
	for {
		if !t.owner.state.leaseHolds() {
			g.release(false)
			return t.lostBlock(a)
		}
		if err := t.confirmInBlock(streamContext, g, a); err != nil {
			g.release(false)
			return err
		}
		if err := t.relay(a.take()); err != nil {
			g.release(false)
			return err
		}
		payload, ended, err := t.nextInBlock(streamContext)
		if err != nil {
			g.release(false)
			return err
		}
		done, err := t.blockBatch(streamContext, g, payload, ended, a)
		if done || err != nil {
			return err
		}
	}
}

func (t *transaction) nextInBlock(ctx context.Context) (payload []byte, ended bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, idleTransactionLimit)
	defer cancel()
	return t.nextFrame(ctx)
}

// blockBatch runs one batch of a block; done tells that the block has ended and the caller has its answer.
func (t *transaction) blockBatch(
	ctx context.Context, g grant, payload []byte, ended bool, a *answer,
) (done bool, err error) {
	ctx, cancel := t.batchContext(ctx)
	defer cancel()
	if !g.readOnly && !g.conn.Quiet() {
		g.release(false)
		return true, errBlockLost()
	}
	*a = answer{}
	if err := t.primaryBatch(ctx, g, payload, ended, a); err != nil {
		g.release(false)
		return true, t.primaryFailed(ctx, err)
	}
	if a.status != pgcli.StatusIdle {
		return false, nil
	}
	if !g.readOnly {
		return true, t.confirm(ctx, g, a)
	}
	position := g.conn.Position()
	g.release(true)
	_, err = t.answerFromReplica(g.chosen, 0, position, a)
	return true, err
}

// lostBlock reports a block that cannot go on; what an earlier command of its last batch committed stays unconfirmed.
func (t *transaction) lostBlock(a *answer) error {
	if a.committed {
		return fault.New(fault.OutcomeUnknown, "the owner could not confirm that it still owns the database")
	}
	return errBlockLost()
}

// confirmInBlock waits for the confirmation of what a batch committed before it opened the next block. The member reports
// no position inside a block, so the position of the primary after the answer is awaited.
func (t *transaction) confirmInBlock(ctx context.Context, g grant, a *answer) error {
	if !a.committed || g.readOnly {
		return nil
	}
	ctx, cancel := t.batchContext(ctx)
	defer cancel()
	observed, err := t.owner.callMember(ctx, g.target, func(c *control) (quorum.Observation, error) { return c.status() })
	if err != nil || observed.Term != g.term {
		return fault.New(fault.OutcomeUnknown, "the primary did not confirm the transaction before the open one")
	}
	return t.awaitPosition(ctx, g.term, observed.Position)
}

// errBlockLost reports a block whose connection ended between two batches, which rolls the block back.
func errBlockLost() *fault.Fault {
	return fault.New(fault.NoPrimary, "the primary was replaced and the transaction block was rolled back")
}

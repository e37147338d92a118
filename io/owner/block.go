package owner

import (
	"context"
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/io/pgcli"
)

// idleTransactionLimit bounds how long a transaction block may hold a connection without a statement.
const idleTransactionLimit = time.Minute

// continueBlock keeps a connection for the batches of a transaction block until the block ends. The grant's term stays
// the one under which the block began, so that a primary replaced meanwhile cannot have the block confirmed.
func (t *transaction) continueBlock(ctx context.Context, g grant, onReplica bool, a *answer) error {
	streamContext := context.WithoutCancel(ctx)
	for {
		if !t.owner.state.leaseHolds() {
			g.release(false)
			return errBlockLost()
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
		done, err := t.blockBatch(streamContext, g, payload, ended, onReplica, a)
		if done || err != nil {
			return err
		}
	}
}

func (t *transaction) nextInBlock(ctx context.Context) (payload []byte, ended bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, idleTransactionLimit)
	defer cancel()
	return t.batch(ctx)
}

// blockBatch runs one batch of a block; done tells that the block has ended and the caller has its answer.
func (t *transaction) blockBatch(
	ctx context.Context, g grant, payload []byte, ended, onReplica bool, a *answer,
) (done bool, err error) {
	ctx, cancel := t.batchContext(ctx)
	defer cancel()
	if !onReplica && !g.conn.Quiet() {
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
	if !onReplica {
		return true, t.confirm(ctx, g, a)
	}
	position := g.conn.Position()
	g.release(true)
	_, err = t.answerFromReplica(replica{target: g.target}, 0, position, a)
	return true, err
}

// errBlockLost reports a block whose connection ended between two batches, which rolls the block back.
func errBlockLost() *fault.Fault {
	return fault.New(fault.NoPrimary, "the primary was replaced and the transaction block was rolled back")
}

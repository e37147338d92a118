package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/policy"
)

// exchange sends a batch, preceded by the session's settings, and lets read take in the answer. The connection's deadline
// follows the context; when the context ends first the target is asked to stop the statement.
func (t *transaction) exchange(
	ctx context.Context, m policy.Member, c *pooledConn, readOnly bool, payload []byte, read func() error,
) error {
	prefix, statements := t.setupStatements(c, readOnly)
	if len(prefix) > 0 {
		payload = append(prefix, payload...)
	}
	t.setRunning(c)
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	watch := t.owner.startWatchdog(m, c)
	err := c.Send(payload)
	if err == nil {
		err = skipSetupAnswers(c, statements)
	}
	if err == nil {
		err = read()
	}
	watch.stop()
	t.setRunning(nil)
	if stop() {
		return err
	}
	cancelStatement(c)
	return errors.Wrap(ctx.Err(), "waiting for a target's answer")
}

// cancelStatement asks the target to stop what a condemned connection still runs.
func cancelStatement(c *pooledConn) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	_ = c.Cancel(ctx)
}

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
	ctx context.Context, m policy.Member, c *pooled, readOnly bool, payload []byte, read func() error,
) error {
	prefix, statements := t.prefix(c, readOnly)
	if len(prefix) > 0 {
		payload = append(prefix, payload...)
	}
	t.setRunning(c)
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	watch := t.owner.watchSilence(m, c)
	err := c.Send(payload)
	if err == nil {
		err = skipPrefix(c, statements)
	}
	if err == nil {
		err = read()
	}
	watch.end()
	t.setRunning(nil)
	if stop() {
		return err
	}
	stopStatement(c)
	return errors.Wrap(ctx.Err(), "waiting for a target's answer")
}

// stopStatement asks the target to stop what a condemned connection still runs.
func stopStatement(c *pooled) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	_ = c.Cancel(ctx)
}

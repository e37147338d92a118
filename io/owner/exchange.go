package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/fault"
	"turmericpulley/core/policy"
	"turmericpulley/core/types"
	"turmericpulley/io/pgcli"
)

// exchange sends a batch, preceded by the session's setup statements, and calls read to read the answer. When the
// context ends, reads and writes on the connection fail at once and the target is asked to cancel the statement.
func (t *transaction) exchange(
	ctx context.Context, m policy.Member, c *pooledConn, readOnly bool, payload []byte, read func() error,
) error {
	setup, statements := t.setupStatements(c, readOnly)
	accepted := &t.owner.members[m.Target].pool.accepted
	pipelined := accepted.containAll(t.begin.GetSettings())
	if pipelined && len(setup) > 0 {
		payload = append(setup, payload...)
	}
	t.setRunning(c)
	stopDeadline := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	w := t.owner.startWatchdog(m, c)
	var err error
	if !pipelined {
		err = t.applySettings(c, accepted, setup, statements)
	}
	if err == nil {
		err = c.Send(payload)
	}
	if err == nil && pipelined {
		err = skipPipelinedSetup(c, accepted, statements)
	}
	if err == nil {
		err = read()
	}
	w.stop()
	t.setRunning(nil)
	if errors.Is(err, pgcli.ErrMisplacedAnswer) {
		t.owner.recordMisplacedAnswer(m.Target, c)
	}
	if stopDeadline() {
		return err
	}
	cancelStatement(c)
	if fault.From(err) != nil {
		return err
	}
	return errors.Wrap(ctx.Err(), "waiting for a target's answer")
}

// cancelStatement asks the target to cancel the statement that it may still run for a connection that can no longer be used.
func cancelStatement(c *pooledConn) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	_ = c.Cancel(ctx)
}

// recordMisplacedAnswer counts and logs that the answers on a connection no longer match the requests.
func (o *Owner) recordMisplacedAnswer(target types.TargetID, c *pooledConn) {
	o.settings.Counters.MisplacedAnswers.Add(1)
	o.settings.Logger.Warn("answer out of place", "database", o.Database(), "target", target, "process", c.PID(), "messages", c.MessagesReceived(),
		"unread", c.HasUnreadBytes())
}

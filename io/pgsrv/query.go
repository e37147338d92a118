package pgsrv

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// begin starts a batch when none is being received.
func (c *caller) begin() error {
	if c.batch != nil {
		return nil
	}
	if err := c.settle(); err != nil {
		return err
	}
	c.batch = newBatch()
	return nil
}

// query handles a simple query, which is a batch of its own.
func (c *caller) query(m message) error {
	var q pgproto3.Query
	if err := q.Decode(m.body); err != nil {
		return newViolation("Query cannot be decoded: %v", err)
	}
	if err := c.begin(); err != nil {
		return err
	}
	b := c.batch
	if b.skipping {
		return nil
	}
	if b.forwards || b.answers || b.closes > 0 {
		return newViolation("Query came before the Sync of an extended batch")
	}
	if cmd := c.commandOf(q.String, recognise(q.String)); cmd != nil {
		return c.answerQuery(cmd)
	}
	if c.refusesSetting(q.String) {
		c.failSetting()
		return c.conclude()
	}
	b.forwards = true
	b.executes = 1
	b.bind(q.String)
	b.payload = m.appendTo(make([]byte, 0, len(m.body)+headerBytes))
	return c.submit(true)
}

// answerQuery answers a simple query that does not go to a target.
func (c *caller) answerQuery(cmd command) error {
	if isShow(cmd) {
		c.batch.local.add(c.rowDescription(cmd))
	}
	c.execute(cmd)
	if c.batch.skipping {
		return c.conclude()
	}
	return c.finishLocal()
}

// finishLocal sends the proxy's own answers to a batch.
func (c *caller) finishLocal() error {
	b := c.batch
	c.batch = nil
	b.local.ready(c.status())
	return c.write(b.local.data)
}

// conclude ends a batch whose error has been answered.
func (c *caller) conclude() error {
	c.batch = nil
	var r reply
	r.ready(c.status())
	return c.write(r.data)
}

package pgsrv

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// startBatch starts a batch when none is being received. It first waits for the answer to the last one.
func (c *connection) startBatch() error {
	if c.batch != nil {
		return nil
	}
	if err := c.completeLastBatch(); err != nil {
		return err
	}
	c.batch = newBatch()
	return nil
}

// handleQuery handles a simple query, which is a batch of its own.
func (c *connection) handleQuery(m message) error {
	var q pgproto3.Query
	if err := q.Decode(m.body); err != nil {
		return newProtocolViolation("Query cannot be decoded: %v", err)
	}
	if err := c.startBatch(); err != nil {
		return err
	}
	b := c.batch
	if b.skipping {
		return nil
	}
	if b.usesTarget || b.answeredLocally || b.pendingCloses > 0 {
		return newProtocolViolation("Query arrived before the Sync of an extended batch")
	}
	if cmd := c.commandFor(q.String, recogniseCommand(q.String)); cmd != nil {
		return c.answerQuery(cmd)
	}
	if c.exceedsSettingLimit(q.String) {
		c.failSettingLimit()
		return c.finishFailedBatch()
	}
	b.usesTarget = true
	b.executeCount = 1
	b.recordStatement(q.String)
	b.payload = m.encoded
	if b.payload == nil {
		b.payload = m.appendTo(make([]byte, 0, len(m.body)+headerBytes))
	}
	return c.sendBatch(true)
}

// answerQuery answers a simple query that the proxy handles itself.
func (c *connection) answerQuery(cmd command) error {
	if isShow(cmd) {
		c.batch.localReply.add(c.rowDescription(cmd))
	}
	c.executeCommand(cmd)
	if c.batch.skipping {
		return c.finishFailedBatch()
	}
	return c.finishLocal()
}

// finishLocal ends a batch that the proxy has answered and sends the answers.
func (c *connection) finishLocal() error {
	b := c.batch
	c.batch = nil
	b.localReply.addReady(c.transactionStatus())
	return c.write(b.localReply.data)
}

// finishFailedBatch sends the ReadyForQuery that ends a batch whose error has been sent.
func (c *connection) finishFailedBatch() error {
	c.batch = nil
	var r reply
	r.addReady(c.transactionStatus())
	return c.write(r.data)
}

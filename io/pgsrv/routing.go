package pgsrv

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

const mixedBatchMessage = "failed: statements on pulley settings cannot share a batch with others; send them in a batch of their own"

// useTarget marks the batch as one for the target. It fails the batch and returns false when the proxy already answers it.
func (c *connection) useTarget() bool {
	b := c.batch
	if b.answeredLocally {
		c.fail(sqlStateFeatureNotSupported, mixedBatchMessage)
		return false
	}
	b.usesTarget = true
	for ; b.pendingCloses > 0; b.pendingCloses-- {
		b.payload = appendCloseUnnamed(b.payload)
	}
	return true
}

// useLocal marks the batch as one that the proxy answers. It fails the batch and returns false when a part of it is for
// the target.
func (c *connection) useLocal() bool {
	b := c.batch
	if b.usesTarget {
		c.fail(sqlStateFeatureNotSupported, mixedBatchMessage)
		return false
	}
	b.answeredLocally = true
	c.answerCloses()
	return true
}

// answerCloses answers the pending Close messages without a target.
func (c *connection) answerCloses() {
	for b := c.batch; b.pendingCloses > 0; b.pendingCloses-- {
		b.localReply.add(&pgproto3.CloseComplete{})
	}
}

// handleFlush sends what the batch has collected so far: messages to the target or the proxy's own answers.
func (c *connection) handleFlush() error {
	b := c.batch
	if b == nil || b.skipping {
		return nil
	}
	if b.usesTarget {
		if len(b.payload) == 0 {
			return nil
		}
		b.payload = appendMessage(b.payload, &pgproto3.Flush{})
		return c.sendBatch(false)
	}
	c.answerCloses()
	data := b.localReply.data
	b.localReply.data = nil
	return c.write(data)
}

// handleSync ends a batch and sends the rest of it.
func (c *connection) handleSync(m message) error {
	if err := c.startBatch(); err != nil {
		return err
	}
	b := c.batch
	if b.skipping {
		return c.finishFailedBatch()
	}
	if !b.usesTarget {
		c.answerCloses()
		return c.finishLocal()
	}
	b.payload = m.appendTo(b.payload)
	return c.sendBatch(true)
}

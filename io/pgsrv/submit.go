package pgsrv

import (
	"time"

	"turmericpulley/core/fault"
)

// batchPartBytes is the size above which a batch is sent before its end.
const batchPartBytes = 256 << 10

// sendBatch sends what the batch has collected and opens the transaction when there is none.
func (c *connection) sendBatch(end bool) error {
	b := c.batch
	x := c.transaction.Load()
	if x == nil {
		opened, f := c.openTransaction(b, end)
		if f != nil {
			return c.refuseBatch(f, end)
		}
		x = opened
		c.transaction.Store(x)
	}
	if !b.sent {
		c.answer = newAnswer()
	}
	c.callerParses = b.callerParses
	if f := x.sendPart(c.answer, batchPart{payload: b.payload, parses: b.parses, singleStatement: b.singleStatement(), end: end}); f != nil {
		return c.refuseBatch(f, end)
	}
	b.payload, b.parses, b.sent = nil, nil, true
	if end {
		c.batch = nil
	}
	return nil
}

// refuseBatch answers a batch that was not sent.
func (c *connection) refuseBatch(f *fault.Fault, end bool) error {
	c.server.countError(f)
	c.failBatch(func(r *reply) { r.addFault(severityError, f, c.server.requestReference(c.batch.requestID)) })
	if end {
		return c.finishFailedBatch()
	}
	return nil
}

// fail answers the batch with an error of the proxy.
func (c *connection) fail(state, text string) {
	c.failBatch(func(r *reply) { r.addError(severityError, state, text) })
}

// failBatch drops what has not been sent, ends an open transaction and answers with an error.
func (c *connection) failBatch(explain func(*reply)) {
	b := c.batch
	told := false
	if x := c.transaction.Load(); x != nil {
		block := x.inBlock()
		x.close(false)
		told = c.answer != nil && c.answer.errorSent
		c.transaction.Store(nil)
		c.blockFailed = block
	}
	c.answer = nil
	c.callerParses = b.callerParses
	c.dropUnconfirmedStatements()
	b.skipping = true
	b.payload, b.parses = nil, nil
	if !told {
		explain(&b.localReply)
	}
	_ = c.write(b.localReply.data)
	b.localReply.data = nil
}

// reportNotOpened tells the observer about a transaction that was not opened.
func (c *connection) reportNotOpened(f *fault.Fault, b *batch) {
	t := c.newReport(b.requestID, b.start)
	t.Fault = f
	t.Latency = time.Since(b.start)
	c.server.settings.Observe(t)
}

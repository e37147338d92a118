package pgsrv

import (
	"time"

	"turmericpulley/core/fault"
)

// batchPartBytes is the size above which the collected messages of a batch are sent before the batch ends. It is also the
// maximum size of the payloads that they are sent in, except for a payload with a single larger message. The proxy's own
// answers are written before the batch ends when they exceed the same size.
const batchPartBytes = 256 << 10

// sendBatch sends the collected part of the batch to the owner. It opens a transaction when there is none.
func (c *connection) sendBatch(end bool) error {
	b := c.batch
	tx := c.transaction.Load()
	if tx == nil {
		opened, f := c.openTransaction(b, end)
		if f != nil {
			return c.refuseBatch(f, end)
		}
		tx = opened
		c.transaction.Store(tx)
	}
	if !b.sent {
		c.answer = newAnswer()
	}
	c.callerParses = b.callerParses
	if f := tx.sendPart(c.answer, batchPart{payload: b.payload, parses: b.parses, singleStatement: b.singleStatement(), end: end}); f != nil {
		return c.refuseBatch(f, end)
	}
	b.payload, b.parses, b.sent = nil, nil, true
	if end {
		c.batch = nil
	}
	return nil
}

// refuseBatch answers a batch with the fault that kept it from being sent.
func (c *connection) refuseBatch(f *fault.Fault, end bool) error {
	c.server.countError(f)
	c.failBatch(func(r *reply) { r.addFault(severityError, f, c.server.requestReference(c.batch.requestID)) })
	if end {
		return c.finishFailedBatch()
	}
	return nil
}

// fail answers the batch with an error that the proxy raises.
func (c *connection) fail(state, text string) {
	c.failBatch(func(r *reply) { r.addError(severityError, state, text) })
}

// failBatch discards the unsent part of the batch, ends an open transaction and skips the rest of the batch. It sends an
// error unless the proxy has already sent one for this batch.
func (c *connection) failBatch(addError func(*reply)) {
	b := c.batch
	errorSent := false
	if tx := c.transaction.Load(); tx != nil {
		inBlock := tx.inBlock()
		tx.close(false)
		errorSent = c.answer != nil && c.answer.errorSent
		c.transaction.Store(nil)
		c.blockFailed = inBlock
	}
	c.answer = nil
	c.callerParses = b.callerParses
	c.dropUnconfirmedStatements()
	b.skipping = true
	b.payload, b.parses = nil, nil
	if !errorSent {
		addError(&b.localReply)
	}
	_ = c.write(b.localReply.data)
	b.localReply.data = nil
}

// reportNotOpened passes the report of a transaction that could not be opened to Observe.
func (c *connection) reportNotOpened(f *fault.Fault, b *batch) {
	report := c.newReport(b.requestID, b.start)
	report.Fault = f
	report.Latency = time.Since(b.start)
	c.server.settings.Observe(report)
}

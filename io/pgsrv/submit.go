package pgsrv

import (
	"time"

	"turmericpulley/core/fault"
)

// submitBytes is the size above which a batch is sent before its end.
const submitBytes = 256 << 10

// submit sends what the batch has collected and opens the transaction when there is none.
func (c *caller) submit(end bool) error {
	b := c.batch
	x := c.exchange.Load()
	if x == nil {
		opened, f := c.open(b, end)
		if f != nil {
			return c.refuse(f, end)
		}
		x = opened
		c.exchange.Store(x)
	}
	if !b.sent {
		c.answer = newAnswer()
	}
	c.defined = b.defined
	if f := x.send(c.answer, part{payload: b.payload, parses: b.parses, text: b.only(), end: end}); f != nil {
		return c.refuse(f, end)
	}
	b.payload, b.parses, b.sent = nil, nil, true
	if end {
		c.batch = nil
	}
	return nil
}

// refuse answers a batch that was not sent.
func (c *caller) refuse(f *fault.Fault, end bool) error {
	c.server.count(f)
	c.failBatch(func(r *reply) { r.fault(severityError, f, c.server.where(c.batch.requestID)) })
	if end {
		return c.conclude()
	}
	return nil
}

// fail answers the batch with an error of the proxy.
func (c *caller) fail(state, text string) {
	c.failBatch(func(r *reply) { r.fail(severityError, state, text) })
}

// failBatch drops what has not been sent, ends an open transaction and answers with an error.
func (c *caller) failBatch(explain func(*reply)) {
	b := c.batch
	told := false
	if x := c.exchange.Load(); x != nil {
		block := x.inBlock()
		x.close(false)
		told = c.answer != nil && c.answer.failed
		c.exchange.Store(nil)
		c.blockFailed = block
	}
	c.answer = nil
	c.defined = b.defined
	c.forgetUnconfirmed()
	b.skipping = true
	b.payload, b.parses = nil, nil
	if !told {
		explain(&b.local)
	}
	_ = c.write(b.local.data)
	b.local.data = nil
}

// reportRefused tells the observer about a transaction that was not opened.
func (c *caller) reportRefused(f *fault.Fault, b *batch) {
	t := c.describe(b.requestID, b.start)
	t.Fault = f
	t.Latency = time.Since(b.start)
	c.server.settings.Observe(t)
}

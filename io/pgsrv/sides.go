package pgsrv

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

const mixedBatch = "failed: statements on pulley settings cannot share a batch with others; send them by themselves"

// useTarget makes the batch one that goes to the target, unless the proxy already answers it.
func (c *caller) useTarget() bool {
	b := c.batch
	if b.answers {
		c.fail(stateFeatureNotSupported, mixedBatch)
		return false
	}
	b.forwards = true
	for ; b.closes > 0; b.closes-- {
		b.payload = appendCloseUnnamed(b.payload)
	}
	return true
}

// useLocal makes the batch one that the proxy answers, unless it already goes to the target.
func (c *caller) useLocal() bool {
	b := c.batch
	if b.forwards {
		c.fail(stateFeatureNotSupported, mixedBatch)
		return false
	}
	b.answers = true
	c.answerCloses()
	return true
}

// answerCloses answers the Close messages that need no target.
func (c *caller) answerCloses() {
	for b := c.batch; b.closes > 0; b.closes-- {
		b.local.add(&pgproto3.CloseComplete{})
	}
}

// flush passes on what the batch has collected so far.
func (c *caller) flush() error {
	b := c.batch
	if b == nil || b.skipping {
		return nil
	}
	if b.forwards {
		if len(b.payload) == 0 {
			return nil
		}
		b.payload = appendMessage(b.payload, &pgproto3.Flush{})
		return c.submit(false)
	}
	c.answerCloses()
	data := b.local.data
	b.local.data = nil
	return c.write(data)
}

// sync ends a batch.
func (c *caller) sync(m message) error {
	if err := c.begin(); err != nil {
		return err
	}
	b := c.batch
	if b.skipping {
		return c.conclude()
	}
	if !b.forwards {
		c.answerCloses()
		return c.finishLocal()
	}
	b.payload = m.appendTo(b.payload)
	return c.submit(true)
}

package pgsrv

import (
	"io"
	"net"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/fault"
)

// explain tells the caller why its connection ends, when there is something to say.
func (c *caller) explain(err error) {
	var v *violation
	switch {
	case errors.Is(err, errStopping):
		f := fault.New(fault.Stopping, "this instance is stopping")
		c.sendFatal(f.SQLState(), f.Error())
	case errors.As(err, &v):
		c.server.counters.Malformed.Add(1)
		c.stopExchange(false)
		c.sendFatal(stateProtocolViolation, "not run: "+v.detail+"; send well-formed messages within the size limit")
	}
}

// sendFatal sends a last error and lets the caller read it.
func (c *caller) sendFatal(state, text string) {
	var r reply
	r.fail(severityFatal, state, text)
	c.sendLast(r)
}

// sendLast sends the last messages; closing before the caller has read them would discard them.
func (c *caller) sendLast(r reply) {
	if c.write(r.data) != nil {
		return
	}
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.conn)
}

// finish closes the connection and ends its transaction.
func (c *caller) finish() {
	_ = c.conn.Close()
	c.stopExchange(true)
	c.relays.Wait()
	c.source.release()
}

// stopExchange ends an open transaction.
func (c *caller) stopExchange(abandoned bool) {
	x := c.exchange.Load()
	if x == nil {
		return
	}
	x.close(abandoned)
	c.exchange.Store(nil)
}

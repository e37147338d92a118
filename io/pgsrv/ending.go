package pgsrv

import (
	"io"
	"net"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/fault"
)

// sendClosingError tells the caller why its connection ends, when there is something to say.
func (c *connection) sendClosingError(err error) {
	var v *protocolViolation
	switch {
	case errors.Is(err, errStopping):
		f := fault.New(fault.Stopping, "this instance is stopping")
		c.sendFatal(f.SQLState(), f.Error())
	case errors.As(err, &v):
		c.server.counters.ProtocolViolations.Add(1)
		c.closeTransaction(false)
		c.sendFatal(sqlStateProtocolViolation, "not run: "+v.detail+"; send well-formed messages within the size limit")
	}
}

// sendFatal sends a last error and lets the caller read it.
func (c *connection) sendFatal(state, text string) {
	var r reply
	r.addError(severityFatal, state, text)
	c.sendLast(r)
}

// sendLast sends the last messages; closing before the caller has read them would discard them.
func (c *connection) sendLast(r reply) {
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
func (c *connection) finish() {
	_ = c.conn.Close()
	c.closeTransaction(true)
	c.relayGoroutines.Wait()
	c.reader.releaseBuffer()
}

// closeTransaction ends an open transaction.
func (c *connection) closeTransaction(abandoned bool) {
	x := c.transaction.Load()
	if x == nil {
		return
	}
	x.close(abandoned)
	c.transaction.Store(nil)
}

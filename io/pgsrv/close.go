package pgsrv

import (
	"io"
	"net"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/fault"
)

// sendClosingError tells the caller that the server ends its connection because it is stopping or because the caller has
// violated the protocol. After any other error it sends nothing: the caller has ended the connection, the
// connection has failed, or the caller has not sent its start-up message in time.
func (c *connection) sendClosingError(err error) {
	var violation *protocolViolation
	var full *noRoom
	switch {
	case errors.Is(err, errStopping):
		f := fault.New(fault.Stopping, "this instance is stopping")
		c.sendFatal(f.SQLState(), f.Error())
	case errors.As(err, &full):
		c.closeTransaction(false)
		c.sendFatal(sqlStateOutOfMemory, full.Error())
	case errors.As(err, &violation):
		c.server.counters.ProtocolViolations.Add(1)
		c.closeTransaction(false)
		c.sendFatal(sqlStateProtocolViolation, "not run: "+violation.detail+"; send well-formed messages within the size limit")
	}
}

// sendFatal sends a fatal error as the last message and gives the caller time to read it.
func (c *connection) sendFatal(state, text string) {
	var r reply
	r.addError(severityFatal, state, text)
	c.sendLast(r)
}

// sendLast sends the last messages and waits until the caller closes the connection, at most for lingerTimeout. Closing
// before the caller has read the messages would discard them.
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

// finish closes the connection, ends its transaction and releases its resources.
func (c *connection) finish() {
	_ = c.conn.Close()
	c.closeTransaction(true)
	c.relayGoroutines.Wait()
	c.reader.releaseBuffer()
	c.holder.Close()
}

// closeTransaction ends the open transaction, if there is one.
func (c *connection) closeTransaction(abandoned bool) {
	tx := c.transaction.Load()
	if tx == nil {
		return
	}
	tx.close(abandoned)
	c.transaction.Store(nil)
}

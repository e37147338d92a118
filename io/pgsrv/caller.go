package pgsrv

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

const (
	// drainGracePeriod is the time in which a request that is already on its way may still arrive.
	drainGracePeriod = 50 * time.Millisecond
	// lingerTimeout bounds the wait for a caller to read the last message.
	lingerTimeout = time.Second
)

var (
	errStopping   = errors.New("this instance is stopping")
	errTerminated = errors.New("the caller ended the connection")
)

// connection is one connection of a caller.
type connection struct {
	server          *Server
	conn            net.Conn
	reader          messageReader
	key             cancelKey
	customer        types.CustomerID
	database        types.DatabaseID
	session         session
	overLimit       bool     // there is no room for the connection
	startupSettings []string // SET statements of the start-up
	statements      map[string]*statement
	transaction     atomic.Pointer[transaction]
	answer          *answer        // of the batch that was sent last, until it is settled
	callerParses    []pendingParse // statements that the batch defines
	batch           *batch         // being received
	blockFailed     bool           // the proxy ended a transaction block and waits for the caller to end it as well
	awaitingAnswer  atomic.Bool    // the answer, with more requests behind it
	relayGoroutines sync.WaitGroup
}

// newConnection starts serving a connection.
func newConnection(s *Server, conn net.Conn, key cancelKey, excess bool) *connection {
	c := &connection{server: s, conn: conn, key: key, overLimit: excess}
	c.reader = messageReader{conn: conn, pool: s.buffers, maxBytes: s.settings.MaxMessageBytes}
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		defer s.removeConnection(c)
		defer c.finish()
		if c.startUp() {
			c.sendClosingError(c.serve())
		}
	}()
	return c
}

// serve handles messages until the connection ends.
func (c *connection) serve() error {
	c.reader.retryInterrupted = true
	grace := drainGracePeriod
	for {
		last := c.server.draining.Load() && c.isIdle()
		if last {
			_ = c.conn.SetReadDeadline(time.Now().Add(grace))
		}
		m, err := c.reader.next()
		if errors.Is(err, errInterrupted) && last {
			return errStopping
		}
		if errors.Is(err, errInterrupted) {
			_ = c.conn.SetReadDeadline(time.Time{})
			continue
		}
		if err != nil {
			return err
		}
		if last {
			grace = 0 // a caller that goes on sending must not keep the server from draining
			_ = c.conn.SetReadDeadline(time.Time{})
		}
		if err := c.handleMessage(m); err != nil {
			return err
		}
	}
}

// handleMessage acts on one message.
func (c *connection) handleMessage(m message) error {
	switch m.kind {
	case kindQuery:
		return c.handleQuery(m)
	case kindParse, kindBind, kindDescribe, kindExecute, kindClose:
		return c.handleExtended(m)
	case kindFlush:
		return c.handleFlush()
	case kindSync:
		return c.handleSync(m)
	case kindTerminate:
		return c.handleTerminate()
	case kindCopyData, kindCopyDone, kindCopyFail:
		return nil // what a caller still sends after COPY was refused
	default:
		return newProtocolViolation("messages of kind %q are not served", m.kind)
	}
}

// handleTerminate ends the connection after the answer to the last batch.
func (c *connection) handleTerminate() error {
	if c.batch == nil && c.answer != nil {
		<-c.answer.done
	}
	return errTerminated
}

// isIdle reports whether no request or transaction is open.
func (c *connection) isIdle() bool {
	if c.batch != nil {
		return false
	}
	if c.answer != nil {
		if !c.answer.isDone() || c.completeLastBatch() != nil {
			return false
		}
	}
	x := c.transaction.Load()
	return x == nil || x.isLost()
}

// completeLastBatch waits for the answer to the last batch and takes note of how it ended.
func (c *connection) completeLastBatch() error {
	a := c.answer
	if a == nil {
		return nil
	}
	if err := c.awaitAnswer(a); err != nil {
		return err
	}
	c.answer = nil
	c.dropUnconfirmedStatements()
	x := c.transaction.Load()
	if a.status == 0 {
		return errTerminated
	}
	if x.isAnswered() {
		c.transaction.Store(nil)
		c.blockFailed = a.status == statusFailedTransaction
	}
	return nil
}

// dropUnconfirmedStatements drops the statements that the target did not accept.
func (c *connection) dropUnconfirmedStatements() {
	for _, p := range c.callerParses {
		if !p.statement.confirmed && c.statements[p.name] == p.statement {
			delete(c.statements, p.name)
		}
	}
	c.callerParses = nil
}

// transactionStatus returns the transaction status that ReadyForQuery shows.
func (c *connection) transactionStatus() byte {
	if c.blockFailed {
		return statusFailedTransaction
	}
	x := c.transaction.Load()
	if x == nil {
		return statusIdle
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.status
}

// wakeIfAwaited wakes a connection that waits for the answer, or that may now be idle while the server drains.
func (c *connection) wakeIfAwaited() {
	if c.awaitingAnswer.Load() || c.server.draining.Load() {
		c.wake()
	}
}

// wake interrupts the wait for the next message.
func (c *connection) wake() { _ = c.conn.SetReadDeadline(time.Now()) }

// write sends encoded messages; a caller that does not take them in time loses its connection.
func (c *connection) write(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.server.settings.WriteTimeout))
	_, err := c.conn.Write(data)
	if err == nil {
		return nil
	}
	if isTimeout(err) {
		c.server.counters.SlowCallers.Add(1)
	}
	_ = c.conn.Close()
	return errors.Wrap(err, "writing to the caller")
}

// newReport returns what is known of every transaction of the connection.
func (c *connection) newReport(id types.RequestID, start time.Time) TransactionReport {
	return TransactionReport{
		Customer:  c.customer,
		Database:  c.database,
		Session:   c.session.name,
		RequestID: id,
		Start:     start,
	}
}

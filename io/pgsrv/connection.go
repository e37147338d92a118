package pgsrv

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/budget"
	"turmericpulley/core/types"
)

const (
	// drainGracePeriod is how long an idle connection of a draining server still accepts a request that is in transit.
	drainGracePeriod = 50 * time.Millisecond
	// lingerTimeout bounds the wait for a caller to read the last message before its connection is closed.
	lingerTimeout = time.Second
)

var (
	errStopping   = errors.New("this instance is stopping")
	errTerminated = errors.New("the caller ended the connection")
)

// connection is a caller's connection with its session, prepared statements and open transaction.
type connection struct {
	server          *Server
	conn            net.Conn
	reader          messageReader
	key             cancelKey
	customer        types.AccountID
	database        types.DatabaseID
	session         session
	overLimit       bool     // the server had reached its connection limit when it accepted this connection
	startupSettings []string // SET statements for the parameters of the start-up message
	statements      map[string]*statement
	statementBytes  int // size of the statements
	transaction     atomic.Pointer[transaction]
	answer          *answer        // to the last batch sent; nil once its result has been applied
	callerParses    []pendingParse // Parse messages of the last batch sent
	batch           *batch         // being received; nil between batches
	blockFailed     bool           // the proxy has ended a transaction block that the caller has not ended yet
	awaitingAnswer  atomic.Bool    // reading ahead while an answer is outstanding
	relayGoroutines sync.WaitGroup
	holder          *budget.Holder
	arriving        int         // bytes in the budget for the message that arrives or is handled
	unansweredBytes int         // bytes in the budget for large messages whose batch has not been answered
	holdsForAnswer  atomic.Bool // bytes are to be given back once the answer is complete
}

// newConnection starts a goroutine that serves the connection until it ends.
func newConnection(s *Server, conn net.Conn, key cancelKey, overLimit bool) *connection {
	c := &connection{server: s, conn: conn, key: key, overLimit: overLimit}
	c.holder = s.budget.Open(func() { _ = conn.Close() })
	c.reader = messageReader{
		conn: conn, pool: s.buffers, maxBytes: s.settings.MaxMessageBytes,
		admit: c.admitMessage, progress: func() { c.holder.Progress(budget.Message) },
	}
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
	gracePeriod := drainGracePeriod
	for {
		c.settleBudget()
		draining := c.server.draining.Load() && c.isIdle()
		if draining {
			_ = c.conn.SetReadDeadline(time.Now().Add(gracePeriod))
		}
		m, err := c.reader.next()
		if errors.Is(err, errInterrupted) && draining {
			return errStopping
		}
		if errors.Is(err, errInterrupted) {
			_ = c.conn.SetReadDeadline(time.Time{})
			continue
		}
		if err != nil {
			return err
		}
		if draining {
			gracePeriod = 0 // a caller that keeps sending must not delay the drain
			_ = c.conn.SetReadDeadline(time.Time{})
		}
		if err := c.handleMessage(m); err != nil {
			return err
		}
		c.recordMessage(m)
	}
}

// handleMessage dispatches a message by its type.
func (c *connection) handleMessage(m message) error {
	switch m.messageType {
	case typeQuery:
		return c.handleQuery(m)
	case typeParse, typeBind, typeDescribe, typeExecute, typeClose:
		return c.handleExtended(m)
	case typeFlush:
		return c.handleFlush()
	case typeSync:
		return c.handleSync(m)
	case typeTerminate:
		return c.handleTerminate()
	case typeCopyData, typeCopyDone, typeCopyFail:
		return nil // sent before the caller learnt that its COPY was refused
	default:
		return newProtocolViolation("message type %q is not supported", m.messageType)
	}
}

// handleTerminate ends the connection. It waits for the answer to the last batch first, except inside an unfinished batch,
// whose answer would never be complete.
func (c *connection) handleTerminate() error {
	if c.batch == nil && c.answer != nil {
		<-c.answer.done
	}
	return errTerminated
}

// isIdle reports whether the connection has neither an unanswered request nor an open transaction.
func (c *connection) isIdle() bool {
	if c.batch != nil {
		return false
	}
	if c.answer != nil {
		if !c.answer.isDone() || c.completeLastBatch() != nil {
			return false
		}
	}
	tx := c.transaction.Load()
	return tx == nil || tx.isLost()
}

// completeLastBatch waits for the answer to the last batch and updates the connection's transaction and statements.
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
	tx := c.transaction.Load()
	if a.status == 0 {
		return errTerminated
	}
	if tx.isAnswered() {
		c.transaction.Store(nil)
		c.blockFailed = a.status == statusFailedTransaction
	}
	return nil
}

// dropUnconfirmedStatements removes prepared statements that the target did not accept.
func (c *connection) dropUnconfirmedStatements() {
	for _, p := range c.callerParses {
		if !p.statement.confirmed && c.statements[p.name] == p.statement {
			c.removeStatement(p.name)
		}
	}
	c.callerParses = nil
}

// transactionStatus returns the transaction status for ReadyForQuery.
func (c *connection) transactionStatus() byte {
	if c.blockFailed {
		return statusFailedTransaction
	}
	tx := c.transaction.Load()
	if tx == nil {
		return statusIdle
	}
	tx.mutex.Lock()
	defer tx.mutex.Unlock()
	return tx.status
}

// wakeIfAwaited interrupts the connection's reader when it waits for an answer, when it has to give back what it holds for one, or
// when the server is draining and the reader has to check whether the connection has become idle.
func (c *connection) wakeIfAwaited() {
	if c.awaitingAnswer.Load() || c.holdsForAnswer.Load() || c.server.draining.Load() {
		c.wake()
	}
}

// wake interrupts the read of the next message.
func (c *connection) wake() { _ = c.conn.SetReadDeadline(time.Now()) }

// write sends encoded messages to the caller. It closes the connection when the write fails or exceeds WriteTimeout.
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

// newReport returns a report with the fields that are known when a transaction starts.
func (c *connection) newReport(id types.RequestID, start time.Time) TransactionReport {
	return TransactionReport{
		Customer:  c.customer,
		Database:  c.database,
		Session:   c.session.name,
		RequestID: id,
		Start:     start,
	}
}

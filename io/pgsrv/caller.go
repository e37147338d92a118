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
	// drainGrace is the time in which a request that is already on its way may still arrive.
	drainGrace = 50 * time.Millisecond
	// lingerTimeout bounds the wait for a caller to read the last message.
	lingerTimeout = time.Second
)

var (
	errStopping   = errors.New("this instance is stopping")
	errTerminated = errors.New("the caller ended the connection")
)

// caller is one connection of a caller.
type caller struct {
	server      *Server
	conn        net.Conn
	source      source
	key         cancelKey
	customer    types.CustomerID
	database    types.DatabaseID
	session     session
	excess      bool     // there is no room for the connection
	settings    []string // SET statements of the start-up
	statements  map[string]*statement
	exchange    atomic.Pointer[exchange]
	answer      *answer     // of the batch that was sent last, until it is settled
	defined     []parse     // statements that the batch defines
	batch       *batch      // being received
	blockFailed bool        // the proxy ended a transaction block and waits for the caller to end it as well
	awaiting    atomic.Bool // the answer, with more requests behind it
	relays      sync.WaitGroup
}

// newCaller starts serving a connection.
func newCaller(s *Server, conn net.Conn, key cancelKey, excess bool) *caller {
	c := &caller{server: s, conn: conn, key: key, excess: excess}
	c.source = source{conn: conn, pool: s.buffers, maxBytes: s.settings.MaxMessageBytes}
	s.wait.Add(1)
	go func() {
		defer s.wait.Done()
		defer s.forget(c)
		defer c.finish()
		if c.startUp() {
			c.explain(c.serve())
		}
	}()
	return c
}

// serve handles messages until the connection ends.
func (c *caller) serve() error {
	c.source.patient = true
	grace := drainGrace
	for {
		last := c.server.draining.Load() && c.idle()
		if last {
			_ = c.conn.SetReadDeadline(time.Now().Add(grace))
		}
		m, err := c.source.next()
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
		if err := c.handle(m); err != nil {
			return err
		}
	}
}

// handle acts on one message.
func (c *caller) handle(m message) error {
	switch m.kind {
	case kindQuery:
		return c.query(m)
	case kindParse, kindBind, kindDescribe, kindExecute, kindClose:
		return c.extended(m)
	case kindFlush:
		return c.flush()
	case kindSync:
		return c.sync(m)
	case kindTerminate:
		return c.terminate()
	case kindCopyData, kindCopyDone, kindCopyFail:
		return nil // what a caller still sends after COPY was refused
	default:
		return newViolation("messages of kind %q are not served", m.kind)
	}
}

// terminate ends the connection after the answer to the last batch.
func (c *caller) terminate() error {
	if c.batch == nil && c.answer != nil {
		<-c.answer.done
	}
	return errTerminated
}

// idle reports whether no request or transaction is open.
func (c *caller) idle() bool {
	if c.batch != nil {
		return false
	}
	if c.answer != nil {
		if !c.answer.isDone() || c.settle() != nil {
			return false
		}
	}
	x := c.exchange.Load()
	return x == nil || x.isLost()
}

// settle waits for the answer to the last batch and takes note of how it ended.
func (c *caller) settle() error {
	a := c.answer
	if a == nil {
		return nil
	}
	if err := c.await(a); err != nil {
		return err
	}
	c.answer = nil
	c.forgetUnconfirmed()
	x := c.exchange.Load()
	if a.status == 0 {
		return errTerminated
	}
	if x.isOver() {
		c.exchange.Store(nil)
		c.blockFailed = a.status == statusFailed
	}
	return nil
}

// forgetUnconfirmed drops the statements that the target did not accept.
func (c *caller) forgetUnconfirmed() {
	for _, p := range c.defined {
		if !p.statement.confirmed && c.statements[p.name] == p.statement {
			delete(c.statements, p.name)
		}
	}
	c.defined = nil
}

// status returns the transaction status that ReadyForQuery shows.
func (c *caller) status() byte {
	if c.blockFailed {
		return statusFailed
	}
	x := c.exchange.Load()
	if x == nil {
		return statusIdle
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.status
}

// answered wakes a connection that waits for the answer, or that may now be idle while the server drains.
func (c *caller) answered() {
	if c.awaiting.Load() || c.server.draining.Load() {
		c.wake()
	}
}

// wake interrupts the wait for the next message.
func (c *caller) wake() { _ = c.conn.SetReadDeadline(time.Now()) }

// write sends encoded messages; a caller that does not take them in time loses its connection.
func (c *caller) write(data []byte) error {
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

// describe returns what is known of every transaction of the connection.
func (c *caller) describe(id types.RequestID, start time.Time) Transaction {
	return Transaction{
		Customer:  c.customer,
		Database:  c.database,
		Session:   c.session.name,
		RequestID: id,
		Start:     start,
	}
}

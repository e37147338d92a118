package peers

import (
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Layout of the headers of yamux.
const (
	muxHeaderBytes     = 12
	muxTypeOffset      = 1
	muxFlagsOffset     = 2
	muxLengthOffset    = 8
	muxTypeData        = 0
	muxTypeWindow      = 1
	muxFlagOpen        = 1
	maxHeldHeaderBytes = 4 << 10
)

// conn joins the header of a message, and the opening of a stream, with what is written next, and counts bytes.
type conn struct {
	net.Conn
	counters *Counters
	pending  []byte
	// bodyNext tells that the last header held back announced a body, which the next write is.
	bodyNext bool
	opened   time.Time
	// heard is the time from the opening to the last byte received.
	heard atomic.Int64
	// closed is closed when the session has noticed the end of the connection.
	closing sync.Once
	closed  chan struct{}
}

func newConn(opened net.Conn, counters *Counters) *conn {
	return &conn{Conn: opened, counters: counters, opened: time.Now(), closed: make(chan struct{})}
}

// lastHeard returns when the last byte arrived, or when the connection was opened.
func (c *conn) lastHeard() time.Time { return c.opened.Add(time.Duration(c.heard.Load())) }

// Write holds back a header that is always followed by more and sends everything else; yamux writes from one goroutine.
func (c *conn) Write(data []byte) (int, error) {
	if !c.bodyNext && isLeading(data) && len(c.pending) < maxHeldHeaderBytes {
		c.pending = append(c.pending, data...)
		c.bodyNext = data[muxTypeOffset] == muxTypeData
		return len(data), nil
	}
	c.bodyNext = false
	if len(c.pending) == 0 {
		sent, err := c.Conn.Write(data)
		c.counters.BytesSent.Add(uint64(sent))
		c.failed(err)
		return sent, errors.Wrap(err, "writing to another instance")
	}
	c.pending = append(c.pending, data...)
	sent, err := c.Conn.Write(c.pending)
	c.counters.BytesSent.Add(uint64(sent))
	c.pending = c.pending[:0]
	c.failed(err)
	if err != nil {
		return 0, errors.Wrap(err, "writing to another instance")
	}
	return len(data), nil
}

// failed holds a failed write back until the reading side has ended the session. When the writing side ends it, yamux
// waits for the reading side with its streams woken but not closed, and each of their readers spins until then.
func (c *conn) failed(err error) {
	if err == nil {
		return
	}
	c.hangUp()
	<-c.closed
}

// hangUp ends the connection, of which the session learns by its reading side.
func (c *conn) hangUp() { _ = c.Conn.Close() }

// Close is called by the session when it ends.
func (c *conn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Read counts the bytes that arrive and notes when.
func (c *conn) Read(data []byte) (int, error) {
	received, err := c.Conn.Read(data)
	if received > 0 {
		c.counters.BytesReceived.Add(uint64(received))
		c.heard.Store(int64(time.Since(c.opened)))
	}
	return received, err
}

// isLeading reports whether the data is a header that the sender always follows with more.
func isLeading(data []byte) bool {
	if len(data) != muxHeaderBytes {
		return false
	}
	switch data[muxTypeOffset] {
	case muxTypeData:
		return binary.BigEndian.Uint32(data[muxLengthOffset:]) > 0
	case muxTypeWindow:
		return binary.BigEndian.Uint16(data[muxFlagsOffset:])&muxFlagOpen != 0
	default:
		return false
	}
}

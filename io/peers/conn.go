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
	muxHeaderBytes        = 12
	muxTypeOffset         = 1
	muxFlagsOffset        = 2
	muxLengthOffset       = 8
	muxTypeData           = 0
	muxTypeWindow         = 1
	muxFlagOpen           = 1
	maxPendingHeaderBytes = 4 << 10
)

// muxConn joins the header of a message, and the opening of a stream, with what is written next, and counts bytes.
type muxConn struct {
	net.Conn
	counters *Counters
	pending  []byte
	// bodyNext tells that the last header held back announced a body, which the next write is.
	bodyNext bool
	openedAt time.Time
	// lastReceived is the time from the opening to the last byte received.
	lastReceived atomic.Int64
	// closed is closed when the session has noticed the end of the connection.
	closeOnce sync.Once
	closed    chan struct{}
}

func newMuxConn(opened net.Conn, counters *Counters) *muxConn {
	return &muxConn{Conn: opened, counters: counters, openedAt: time.Now(), closed: make(chan struct{})}
}

// lastReceivedAt returns when the last byte arrived, or when the connection was opened.
func (c *muxConn) lastReceivedAt() time.Time {
	return c.openedAt.Add(time.Duration(c.lastReceived.Load()))
}

// Write holds back a header that is always followed by more and sends everything else; yamux writes from one goroutine.
func (c *muxConn) Write(data []byte) (int, error) {
	if !c.bodyNext && expectsMore(data) && len(c.pending) < maxPendingHeaderBytes {
		c.pending = append(c.pending, data...)
		c.bodyNext = data[muxTypeOffset] == muxTypeData
		return len(data), nil
	}
	c.bodyNext = false
	if len(c.pending) == 0 {
		sent, err := c.Conn.Write(data)
		c.counters.BytesSent.Add(uint64(sent))
		c.waitAfterWriteError(err)
		return sent, errors.Wrap(err, "writing to another instance")
	}
	c.pending = append(c.pending, data...)
	sent, err := c.Conn.Write(c.pending)
	c.counters.BytesSent.Add(uint64(sent))
	c.pending = c.pending[:0]
	c.waitAfterWriteError(err)
	if err != nil {
		return 0, errors.Wrap(err, "writing to another instance")
	}
	return len(data), nil
}

// waitAfterWriteError holds a failed write back until the reading side has ended the session. When the writing side ends it, yamux
// waits for the reading side with its streams woken but not closed, and each of their readers spins until then.
func (c *muxConn) waitAfterWriteError(err error) {
	if err == nil {
		return
	}
	c.disconnect()
	<-c.closed
}

// disconnect ends the connection, of which the session learns by its reading side.
func (c *muxConn) disconnect() { _ = c.Conn.Close() }

// Close is called by the session when it ends.
func (c *muxConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Read counts the bytes that arrive and notes when.
func (c *muxConn) Read(data []byte) (int, error) {
	received, err := c.Conn.Read(data)
	if received > 0 {
		c.counters.BytesReceived.Add(uint64(received))
		c.lastReceived.Store(int64(time.Since(c.openedAt)))
	}
	return received, err
}

// expectsMore reports whether the data is a header that the sender always follows with more.
func expectsMore(data []byte) bool {
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

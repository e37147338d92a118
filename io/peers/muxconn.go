package peers

import (
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Layout of the frame headers of yamux.
const (
	muxHeaderBytes  = 12
	muxTypeOffset   = 1
	muxFlagsOffset  = 2
	muxLengthOffset = 8
	muxTypeData     = 0
	muxTypeWindow   = 1
	muxFlagOpen     = 1
	// maxPendingHeaderBytes is the size from which buffered headers are sent without waiting for more data.
	maxPendingHeaderBytes = 4 << 10
)

// muxConn is the connection under a yamux session. It sends a frame header, and the frame that opens a stream, in one
// write with the data that follows. It counts bytes and records when the last byte arrived.
type muxConn struct {
	net.Conn
	counters *Counters
	pending  []byte
	// bodyNext is true when the last pending header announced a body, so that the next write is that body.
	bodyNext bool
	openedAt time.Time
	// lastReceived is the time from openedAt to the last byte received, in nanoseconds.
	lastReceived atomic.Int64
	closeOnce    sync.Once
	// closed is closed when the session ends and closes this connection.
	closed chan struct{}
}

func newMuxConn(netConn net.Conn, counters *Counters) *muxConn {
	return &muxConn{Conn: netConn, counters: counters, openedAt: time.Now(), closed: make(chan struct{})}
}

// lastReceivedAt returns when the last byte arrived, or when the connection was opened if none has.
func (c *muxConn) lastReceivedAt() time.Time {
	return c.openedAt.Add(time.Duration(c.lastReceived.Load()))
}

// Write buffers a header that is always followed by more data and sends everything else at once, after the buffered
// headers. yamux writes from a single goroutine.
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

// waitAfterWriteError closes the connection after a failed write and waits until the reading side has ended the
// session. If the writing side ended it, yamux would wake the readers of all streams, and close the streams only once
// the reading side had ended. Until then each of these readers would spin.
func (c *muxConn) waitAfterWriteError(err error) {
	if err == nil {
		return
	}
	c.disconnect()
	<-c.closed
}

// disconnect closes the network connection without ending the session. The reading side of the session then finds the
// connection closed.
func (c *muxConn) disconnect() { _ = c.Conn.Close() }

// Close closes the connection; the session calls it when it ends.
func (c *muxConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Read counts the bytes that arrive and records when they did.
func (c *muxConn) Read(data []byte) (int, error) {
	received, err := c.Conn.Read(data)
	if received > 0 {
		c.counters.BytesReceived.Add(uint64(received))
		c.lastReceived.Store(int64(time.Since(c.openedAt)))
	}
	return received, err
}

// expectsMore reports whether the data is a frame header that yamux always follows with more data.
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

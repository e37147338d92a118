package sock

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
)

// Bounded is a listener that keeps a bounded number of connections open. When it accepts one more it closes the oldest, so that
// connections that never end do not keep new ones out. It suits short exchanges, such as readiness checks.
type Bounded struct {
	net.Listener
	most   int
	closed atomic.Int64

	mu   sync.Mutex
	open *list.List
}

// NewBounded returns a listener that keeps at most the given number of the listener's connections open.
func NewBounded(l net.Listener, most int) *Bounded {
	return &Bounded{Listener: l, most: most, open: list.New()}
}

// Closed returns the number of connections that were closed to make room.
func (b *Bounded) Closed() int64 { return b.closed.Load() }

// Accept waits for the next connection.
func (b *Bounded) Accept() (net.Conn, error) {
	conn, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &boundedConn{Conn: conn, listener: b}
	b.mu.Lock()
	var oldest *boundedConn
	if b.open.Len() >= b.most {
		oldest = b.open.Remove(b.open.Front()).(*boundedConn)
		oldest.place = nil
	}
	c.place = b.open.PushBack(c)
	b.mu.Unlock()
	if oldest != nil {
		b.closed.Add(1)
		_ = oldest.Conn.Close()
	}
	return c, nil
}

// boundedConn leaves the listener's list when it is closed.
type boundedConn struct {
	net.Conn
	listener *Bounded
	place    *list.Element
}

// Close closes the connection.
func (c *boundedConn) Close() error {
	c.listener.mu.Lock()
	if c.place != nil {
		c.listener.open.Remove(c.place)
		c.place = nil
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

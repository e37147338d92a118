package node_test

import (
	"net"
	"sync"
	"sync/atomic"
)

// peerListener accepts the connections of other instances. It counts their reads, and can drop all that they receive or end them.
type peerListener struct {
	net.Listener
	reads atomic.Int64
	// silent drops everything that arrives over open and new connections, as a partition does.
	silent atomic.Bool

	mu   sync.Mutex
	open map[*peerConn]bool
}

func (l *peerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &peerConn{Conn: accepted, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = true
	return c, nil
}

// silenceOpen drops everything that arrives over the connections that are open now.
func (l *peerListener) silenceOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.silent.Store(true)
	}
}

// endConnections ends the open connections.
func (l *peerListener) endConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		_ = c.Conn.Close()
	}
	clear(l.open)
}

// peerConn is one connection that a peerListener accepted.
type peerConn struct {
	net.Conn
	listener *peerListener
	silent   atomic.Bool
}

func (c *peerConn) Read(b []byte) (int, error) {
	for {
		c.listener.reads.Add(1)
		count, err := c.Conn.Read(b)
		if err != nil || !c.listener.silent.Load() && !c.silent.Load() {
			return count, err
		}
	}
}

func (c *peerConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

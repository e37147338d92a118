package crowd

import (
	"net"
	"sync"
	"testing"
	"time"
)

// dialTimeout bounds the opening of one connection; a connection that is not accepted in time is left out of the crowd.
const dialTimeout = 5 * time.Second

// Crowd is a set of connections to one address.
type Crowd struct {
	conns []net.Conn
}

// New opens connections to the address, all at once, and closes them at the end of the test. A connection that is refused is left out.
func New(tb testing.TB, address string, size int) *Crowd {
	tb.Helper()
	return NewGreeted(tb, address, size, size, func(net.Conn) {})
}

// NewGreeted opens connections as New does, no more than the given number at the same time, and calls greet with each as it opens.
func NewGreeted(tb testing.TB, address string, size, atOnce int, greet func(conn net.Conn)) *Crowd {
	tb.Helper()
	c := &Crowd{}
	mu := sync.Mutex{}
	opening := sync.WaitGroup{}
	slots := make(chan struct{}, atOnce)
	for range size {
		opening.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			conn, err := net.DialTimeout("tcp", address, dialTimeout)
			if err != nil {
				return
			}
			greet(conn)
			mu.Lock()
			defer mu.Unlock()
			c.conns = append(c.conns, conn)
		})
	}
	opening.Wait()
	tb.Cleanup(c.Close)
	return c
}

// Each calls f with every connection, all at once, and returns after the last call.
func (c *Crowd) Each(f func(conn net.Conn)) {
	calls := sync.WaitGroup{}
	for _, conn := range c.conns {
		calls.Go(func() { f(conn) })
	}
	calls.Wait()
}

// Close closes all connections.
func (c *Crowd) Close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// Send writes the text within the limit and reports whether all of it was taken. A refusal or a slow process is no failure of the test.
func Send(conn net.Conn, text []byte, limit time.Duration) bool {
	_ = conn.SetWriteDeadline(time.Now().Add(limit))
	_, err := conn.Write(text)
	return err == nil
}

// SendInPieces writes the text as Send does, in pieces of the given size.
func SendInPieces(conn net.Conn, text []byte, size int, limit time.Duration) bool {
	for len(text) > 0 {
		n := min(size, len(text))
		if !Send(conn, text[:n], limit) {
			return false
		}
		text = text[n:]
	}
	return true
}

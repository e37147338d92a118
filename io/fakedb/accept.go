package fakedb

import (
	"net"
	"time"

	"github.com/pkg/errors"
)

// acceptRetryDelay is the wait after a connection could not be accepted.
const acceptRetryDelay = 10 * time.Millisecond

// acceptLoop serves each new connection in a goroutine until the listener or the member closes.
func (m *Member) acceptLoop() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || !m.pauseAccepting() {
				return
			}
			continue
		}
		if !m.track(conn) {
			_ = conn.Close()
			return
		}
		go func() {
			defer m.goroutines.Done()
			defer m.untrack(conn)
			m.serve(conn)
		}()
	}
}

// pauseAccepting waits for acceptRetryDelay; it reports false when the member closes meanwhile.
func (m *Member) pauseAccepting() bool {
	timer := time.NewTimer(acceptRetryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-m.closing:
		return false
	}
}

// track registers a connection, so that Close can close it, and counts the goroutine that will serve it in the wait group. The
// caller has to start that goroutine. It reports false when the member is closed.
func (m *Member) track(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.conns[conn] = struct{}{}
	m.goroutines.Add(1)
	return true
}

// untrack closes a connection and removes it from the registered ones.
func (m *Member) untrack(conn net.Conn) {
	_ = conn.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, conn)
}

package fakedb

import (
	"net"
	"time"

	"github.com/pkg/errors"
)

// acceptPause is the wait after a connection could not be accepted.
const acceptPause = 10 * time.Millisecond

// accept serves connections until the listener closes.
func (m *Member) accept() {
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

// pauseAccepting waits a little and reports whether the member is still open.
func (m *Member) pauseAccepting() bool {
	timer := time.NewTimer(acceptPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-m.closing:
		return false
	}
}

// track registers a connection so that Close ends it; the caller starts the goroutine that work counts.
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

func (m *Member) untrack(conn net.Conn) {
	_ = conn.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, conn)
}

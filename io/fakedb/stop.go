package fakedb

import (
	"net"
	"time"
)

// finalWriteTimeout is the time limit for writing the last message to a connection.
const finalWriteTimeout = time.Second

// Close stops the member at once, as a kill would: statements in progress get no response.
func (m *Member) Close() error {
	return m.stop(func() {
		for conn := range m.conns {
			_ = conn.Close()
		}
	})
}

// Leave reports the member as leaving, serves for the grace period, and then ends every session with SQLSTATE 57P01 and closes
// the other connections.
func (m *Member) Leave(grace time.Duration) error {
	m.mu.Lock()
	m.leaving = true
	m.changed.broadcast()
	m.mu.Unlock()
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-m.closing:
	}
	return m.stop(func() {
		sessionConns := map[net.Conn]struct{}{}
		for _, s := range m.sessions {
			sessionConns[s.conn] = struct{}{}
		}
		for conn := range m.conns {
			if _, ok := sessionConns[conn]; !ok {
				_ = conn.Close()
			}
		}
	})
}

// stop terminates all sessions, calls endConnections with the lock held, waits for all goroutines and closes the state
// file.
func (m *Member) stop(endConnections func()) error {
	m.mu.Lock()
	if !m.closed {
		m.closed = true
		close(m.closing)
	}
	for _, s := range m.sessions {
		s.terminate(failFatal(stateAdminShutdown, "terminating connection because the member is stopping"))
	}
	endConnections()
	m.upstream.disconnect()
	m.changed.broadcast()
	m.mu.Unlock()
	_ = m.listener.Close()
	m.goroutines.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	err := m.journal.close()
	m.journal = nil
	return err
}

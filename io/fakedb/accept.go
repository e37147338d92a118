package fakedb

import "net"

// accept serves connections until the listener closes.
func (m *Member) accept() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		if !m.track(conn) {
			_ = conn.Close()
			return
		}
		go func() {
			defer m.work.Done()
			defer m.untrack(conn)
			m.serve(conn)
		}()
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
	m.work.Add(1)
	return true
}

func (m *Member) untrack(conn net.Conn) {
	_ = conn.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, conn)
}

package pgsrv

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// handleCancel cancels the running statement of the connection that a cancel request identifies. A request is ignored when
// its key is unknown or belongs to another instance.
func (s *Server) handleCancel(m *pgproto3.CancelRequest) {
	c := s.findConnection(m)
	if c == nil {
		s.counters.CancelsIgnored.Add(1)
		return
	}
	if tx := c.transaction.Load(); tx != nil && tx.cancel() {
		s.counters.CancelsSent.Add(1)
	}
}

func (s *Server) findConnection(m *pgproto3.CancelRequest) *connection {
	if uint16(m.ProcessID>>instanceHashShift) != s.cancelKeys.instanceHash {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := s.connections[uint16(m.ProcessID)]
	if c == nil || !c.key.matches(m.SecretKey) {
		return nil
	}
	return c
}

package pgsrv

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// cancelRequest cancels the running statement of another connection of this instance.
func (s *Server) cancelRequest(m *pgproto3.CancelRequest) {
	c := s.findCaller(m)
	if c == nil {
		s.counters.CancelsIgnored.Add(1)
		return
	}
	if x := c.exchange.Load(); x != nil && x.cancel() {
		s.counters.Cancelled.Add(1)
	}
}

func (s *Server) findCaller(m *pgproto3.CancelRequest) *caller {
	if uint16(m.ProcessID>>instanceShift) != s.keys.instance {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := s.callers[uint16(m.ProcessID)]
	if c == nil || !c.key.matches(m.SecretKey) {
		return nil
	}
	return c
}

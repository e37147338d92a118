package fakepl

import "strings"

// runCall executes a read, a write or a commit.
func (s *session) runCall(id string, c Call) {
	if code := s.member.drawRefusal(); code != "" && id != proxyID {
		if code == "FAILED" {
			s.recordRun(id, c, nil, "")
		}
		if c.Word == "COMMIT" {
			s.endTransaction()
		}
		s.writeError(code)
		return
	}
	switch {
	case c.Word == "COMMIT":
		s.commit(id, c)
	case c.writes():
		s.write(id, c)
	default:
		s.read(id, c)
	}
}

// succeed records the run and responds with the rows and a signature.
func (s *session) succeed(id string, c Call, rows ...string) {
	signature := s.member.sign(id)
	s.recordRun(id, c, rows, signature)
	for _, row := range rows {
		s.writeLine("DATAROW", row)
	}
	s.writeLine("COMPLETE", signature)
}

// read responds with the value of the item and, in further rows, the session values, so that tests can check both. The
// value is that of the open transaction if it has written the item.
func (s *session) read(id string, c Call) {
	s.occupySlot()
	m, g := s.member, s.member.group
	g.mu.Lock()
	value := ""
	for _, entry := range m.appliedLog() {
		if v, found := entry.items[c.Arguments]; found {
			value = v
		}
	}
	g.mu.Unlock()
	if v, uncommitted := s.writes[c.Arguments]; uncommitted {
		value = v
	}
	rows := append(make([]string, 0, 1+len(s.values)), "value="+value)
	for name, v := range s.values {
		rows = append(rows, name+"="+v)
	}
	s.succeed(id, c, rows...)
}

// write commits the value on the primary, or adds it to the open transaction.
func (s *session) write(id string, c Call) {
	m, g := s.member, s.member.group
	g.mu.Lock()
	primary := m.primary
	g.mu.Unlock()
	if !primary {
		s.writeError("READONLY")
		return
	}
	s.occupySlot()
	item, data, _ := strings.Cut(c.Arguments, " ")
	if s.inTransaction {
		s.writes[item] = data
		s.writeIDs = append(s.writeIDs, id)
	} else {
		m.appendToLogs(map[string]string{item: data}, id)
	}
	s.succeed(id, c)
}

// commit commits the writes of the transaction. It fails if the transaction has failed, if there is none, or if it has
// writes and the member is no longer the primary.
func (s *session) commit(id string, c Call) {
	m, g := s.member, s.member.group
	g.mu.Lock()
	demoted := len(s.writes) > 0 && !m.primary
	g.mu.Unlock()
	if s.transactionFailed || !s.inTransaction || demoted {
		s.endTransaction()
		s.writeError("READONLY")
		return
	}
	s.occupySlot()
	if len(s.writes) > 0 {
		m.appendToLogs(s.writes, s.writeIDs...)
	}
	s.succeed(id, c)
	s.endTransaction()
}

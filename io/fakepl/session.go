package fakepl

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"time"
)

// session is one connection.
type session struct {
	member            *Member
	conn              net.Conn
	output            strings.Builder
	values            map[string]string
	prepared          map[string]string
	inTransaction     bool
	transactionFailed bool
	writes            map[string]string
	writeIDs          []string
}

func (s *session) serve() {
	defer func() { _ = s.conn.Close() }()
	in := bufio.NewReader(s.conn)
	line, err := in.ReadString('\n')
	fields := strings.Fields(line)
	if err != nil || len(fields) < 3 || fields[0] != "STARTUP" {
		return
	}
	if fields[1] != s.member.group.Name || len(fields) > 3 && fields[3] != s.member.ID {
		_, _ = s.conn.Write([]byte("ERROR MOVED " + s.member.ID + "\r\n"))
		return
	}
	s.member.recordCaller(s.conn, fields[2])
	if _, silent := s.member.responseFaults(); silent || s.member.isPartitionedFrom(fields[2]) {
		_, _ = in.ReadString('\n')
		return
	}
	s.writeReady()
	s.flush()
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		parts := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
		if len(parts) < 3 || parts[0] != "QUERY" {
			return
		}
		if s.member.isUnresponsiveConn(s.conn) {
			continue
		}
		s.run(parts[1], parts[2])
		lose, silent := s.member.responseFaults()
		if lose && parts[1] != "-" {
			return
		}
		if silent {
			s.output.Reset()
			continue
		}
		s.flush()
	}
}

func (s *session) flush() {
	_, _ = s.conn.Write([]byte(s.output.String()))
	s.output.Reset()
}

func (s *session) writeLine(words ...string) { s.output.WriteString(strings.Join(words, " ") + "\r\n") }

func (s *session) writeReady() {
	g := s.member.group
	g.mu.Lock()
	defer g.mu.Unlock()
	state := "I"
	switch {
	case s.transactionFailed:
		state = "E"
	case s.inTransaction:
		state = "T"
	}
	s.writeLine("READY", state, logPosition(s.member.appliedLog(), s.member.term))
}

func (s *session) writeError(code string) {
	s.transactionFailed = s.inTransaction
	s.writeLine("ERROR", code, s.member.ID)
}

// run carries out one statement and queues the answer.
func (s *session) run(id, text string) {
	defer s.writeReady()
	g, m := s.member.group, s.member
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "SYNCAFTER" {
		after, statement, _ := strings.Cut(rest, " ")
		g.mu.Lock()
		behind := isBefore(logPosition(m.appliedLog(), m.term), after)
		g.mu.Unlock()
		if behind {
			s.writeError("LAGGING")
			return
		}
		verb, rest, _ = strings.Cut(statement, " ")
	}
	if s.transactionFailed && verb != "ROLLBACK" && verb != "COMMIT" {
		s.writeLine("ERROR", "MALFORMED", "the transaction has failed")
		return
	}
	s.dispatch(id, verb, rest)
}

// dispatch carries out a statement without its prefix.
func (s *session) dispatch(id, verb, rest string) {
	m, g := s.member, s.member.group
	switch verb {
	case "BEGIN":
		g.mu.Lock()
		readOnly := rest != "READ" && !m.primary
		g.mu.Unlock()
		if readOnly {
			s.writeError("READONLY")
			return
		}
		s.inTransaction, s.writes, s.writeIDs = true, map[string]string{}, nil
		s.writeLine("COMPLETE", "-")
	case "ROLLBACK":
		s.inTransaction, s.transactionFailed, s.writes = false, false, nil
		s.writeLine("COMPLETE", "-")
	case "COMMIT":
		s.commit()
	case "READ":
		s.read(rest)
	case "WRITE":
		item, data, _ := strings.Cut(rest, " ")
		s.write(id, item, data)
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		s.writeLine("COMPLETE", "-")
	case "PARSE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		s.writeLine("COMPLETE", "-")
	case "EXECUTE":
		s.executePrepared(id, rest)
	case "DISCARD":
		s.values, s.prepared = map[string]string{}, map[string]string{}
		s.writeLine("COMPLETE", "-")
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		s.runControl(verb, rest)
	default:
		s.writeError("MALFORMED")
	}
}

func (s *session) executePrepared(id, rest string) {
	name, arguments, _ := strings.Cut(rest, " ")
	shape, known := s.prepared[name]
	if !known {
		s.writeError("NOSTMT")
		return
	}
	item, data, _ := strings.Cut(arguments, " ")
	if strings.HasPrefix(shape, "WRITE") {
		s.write(id, item, data)
		return
	}
	s.read(item)
}

// read answers with the item's value and, in further rows, the session's values, so that tests see both.
func (s *session) read(item string) {
	s.occupySlot()
	m, g := s.member, s.member.group
	g.mu.Lock()
	value := ""
	for _, c := range m.appliedLog() {
		if v, found := c.items[item]; found {
			value = v
		}
	}
	g.mu.Unlock()
	if v, own := s.writes[item]; own {
		value = v
	}
	s.writeLine("DATAROW", "value="+value)
	for name, v := range s.values {
		s.writeLine("DATAROW", name+"="+v)
	}
	s.writeLine("COMPLETE", "sig."+m.ID)
}

func (s *session) write(id, item, data string) {
	m, g := s.member, s.member.group
	g.mu.Lock()
	primary := m.primary
	g.mu.Unlock()
	if !primary {
		s.writeError("READONLY")
		return
	}
	s.occupySlot()
	if s.inTransaction {
		s.writes[item] = data
		s.writeIDs = append(s.writeIDs, id)
	} else {
		m.appendToLogs(map[string]string{item: data}, id)
	}
	s.writeLine("COMPLETE", "sig."+m.ID)
}

func (s *session) commit() {
	m, g := s.member, s.member.group
	g.mu.Lock()
	lost := len(s.writes) > 0 && !m.primary
	g.mu.Unlock()
	failed := s.transactionFailed || !s.inTransaction || lost
	writes, ids := s.writes, s.writeIDs
	s.inTransaction, s.transactionFailed, s.writes = false, false, nil
	if failed {
		s.writeError("READONLY")
		return
	}
	s.occupySlot()
	if len(writes) > 0 {
		m.appendToLogs(writes, ids...)
	}
	s.writeLine("COMPLETE", "sig."+m.ID)
}

func (s *session) runControl(verb, rest string) {
	m, g := s.member, s.member.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if term, err := strconv.ParseUint(rest, 10, 64); verb == "STEPDOWN" && err == nil && term > m.term {
		g.makeReplica(m)
	}
	role := "replica"
	if m.primary {
		role = "primary"
	}
	s.writeLine("DATAROW", role, strconv.FormatUint(m.term, 10), logPosition(m.log, m.term), "0", "0", "0", "1")
	s.writeLine("COMPLETE", "-")
}

func (s *session) occupySlot() {
	s.member.slots <- struct{}{}
	time.Sleep(statementTime)
	<-s.member.slots
}

// isBefore compares two positions.
func isBefore(a, b string) bool {
	at, an, _ := strings.Cut(a, ".")
	bt, bn, _ := strings.Cut(b, ".")
	x, _ := strconv.ParseUint(at, 10, 64)
	y, _ := strconv.ParseUint(bt, 10, 64)
	if x != y {
		return x < y
	}
	v, _ := strconv.ParseUint(an, 10, 64)
	w, _ := strconv.ParseUint(bn, 10, 64)
	return v < w
}

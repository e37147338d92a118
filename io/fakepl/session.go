package fakepl

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// session serves one connection to a member.
type session struct {
	member *Member
	conn   net.Conn
	// number is that of the connection.
	number uint64
	// tenant is who opened the connection.
	tenant string
	// sending is held while messages are written to the connection.
	sending sync.Mutex
	// output buffers the response until it is sent.
	output strings.Builder
	// values holds the session values by name. prepared holds the texts of the prepared statements by name.
	values            map[string]string
	prepared          map[string]string
	inTransaction     bool
	transactionFailed bool
	// transaction is the number of the open transaction, 0 if there is none.
	transaction uint64
	// writes holds the uncommitted values of the transaction by item. writeIDs holds the ids of the statements that wrote them.
	writes   map[string]string
	writeIDs []string
}

// proxyID is the id of the proxy's own statements.
const proxyID = "-"

// serve answers the start-up message, then one statement after the other until the connection ends.
func (s *session) serve() {
	defer func() { _ = s.conn.Close() }()
	in := bufio.NewReader(s.conn)
	message, err := readMessage(in)
	fields := strings.Split(message, " ")
	if err != nil || len(fields) < 3 || len(fields) > 4 || fields[0] != "STARTUP" {
		return
	}
	if fields[1] != s.member.group.Name || len(fields) > 3 && fields[3] != s.member.ID {
		s.send(formatMessage("ERROR", "MOVED", s.member.ID))
		return
	}
	s.tenant = fields[2]
	s.member.recordCaller(s.conn, fields[2])
	if _, unresponsive := s.member.responseFaults(); unresponsive || s.member.isPartitionedFrom(fields[2]) {
		_, _ = readMessage(in)
		return
	}
	s.writeReady()
	s.send(s.takeOutput())
	for {
		message, err := readMessage(in)
		if err != nil {
			return
		}
		parts := strings.SplitN(message, " ", 3)
		if len(parts) < 3 || parts[0] != "QUERY" {
			return
		}
		if s.member.isUnresponsiveConn(s.conn) {
			continue
		}
		s.run(parts[1], parts[2])
		answer := s.takeOutput()
		lose, unresponsive := s.member.responseFaults()
		if lose && parts[1] != proxyID {
			return
		}
		if !unresponsive && !s.answer(parts[1], answer) {
			return
		}
	}
}

// answer sends the answer to a statement, twice if the member stutters. It returns false when the connection is to end in the middle.
func (s *session) answer(id, answer string) bool {
	sent, cut := s.member.drawCut(id, answer)
	s.send(sent)
	if cut {
		return false
	}
	delay, twice := s.member.drawSecondAnswer(id)
	switch {
	case twice && delay == 0:
		s.send(answer)
	case twice:
		time.AfterFunc(delay, func() { s.send(answer) })
	}
	return true
}

// send writes whole messages to the connection.
func (s *session) send(messages string) {
	s.sending.Lock()
	defer s.sending.Unlock()
	_, _ = s.conn.Write([]byte(messages))
}

// takeOutput returns the buffered answer and empties the buffer.
func (s *session) takeOutput() string {
	defer s.output.Reset()
	return s.output.String()
}

func (s *session) writeLine(fields ...string) { s.output.WriteString(formatMessage(fields...)) }

// writeReady ends a response with the transaction state and the applied position.
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

// writeError responds with an error code. An open transaction fails with it.
func (s *session) writeError(code string) {
	s.transactionFailed = s.inTransaction
	s.writeLine("ERROR", code, s.member.ID)
}

// run executes one statement and buffers the response. A statement with the prefix SYNCAFTER fails with LAGGING if the
// member has not applied the position that the prefix names.
func (s *session) run(id, text string) {
	defer s.writeReady()
	g, m := s.member.group, s.member
	if rest, prefixed := strings.CutPrefix(text, "SYNCAFTER "); prefixed {
		after, statement, _ := strings.Cut(rest, " ")
		g.mu.Lock()
		behind := isBefore(logPosition(m.appliedLog(), m.term), after)
		g.mu.Unlock()
		if behind {
			s.writeError("LAGGING")
			return
		}
		text = statement
	}
	verb, rest, _ := strings.Cut(text, " ")
	if s.transactionFailed && verb != "ROLLBACK" && verb != "COMMIT" {
		s.writeLine("ERROR", "MALFORMED", "the transaction has failed")
		return
	}
	if call, isCall := parseCall(text, s.prepared); isCall {
		s.runCall(id, call)
		return
	}
	s.dispatch(verb, rest)
}

// dispatch executes a statement that neither reads, writes nor commits.
func (s *session) dispatch(verb, rest string) {
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
		s.inTransaction, s.transaction, s.writes, s.writeIDs = true, g.nextNumber(), map[string]string{}, nil
		s.writeLine("COMPLETE", "-")
	case "ROLLBACK":
		s.endTransaction()
		s.writeLine("COMPLETE", "-")
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		s.writeLine("COMPLETE", "-")
	case "PARSE":
		name, statement, _ := strings.Cut(rest, " ")
		if access, shape, _ := strings.Cut(statement, " "); shape == "" || access != "READ" && access != "WRITE" {
			s.writeError("MALFORMED")
			return
		}
		s.prepared[name] = statement
		s.writeLine("COMPLETE", "-")
	case "CLOSE":
		delete(s.prepared, rest)
		s.writeLine("COMPLETE", "-")
	case "EXECUTE":
		s.writeError("NOSTMT")
	case "DISCARD":
		s.values, s.prepared = map[string]string{}, map[string]string{}
		s.writeLine("COMPLETE", "-")
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		s.runControl(verb, rest)
	default:
		s.writeError("MALFORMED")
	}
}

// endTransaction forgets the open transaction.
func (s *session) endTransaction() {
	s.inTransaction, s.transactionFailed, s.transaction, s.writes, s.writeIDs = false, false, 0, nil, nil
}

// runControl responds to a control statement with the status of the member. STEPDOWN with a higher term makes the
// member a replica; PAUSE and RESUME have no effect.
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

// occupySlot holds a slot of the member for statementTime.
func (s *session) occupySlot() {
	s.member.slots <- struct{}{}
	time.Sleep(statementTime)
	<-s.member.slots
}

// isBefore reports whether position a is before position b: first by term, then by sequence number.
func isBefore(a, b string) bool {
	termTextA, sequenceTextA, _ := strings.Cut(a, ".")
	termTextB, sequenceTextB, _ := strings.Cut(b, ".")
	termA, _ := strconv.ParseUint(termTextA, 10, 64)
	termB, _ := strconv.ParseUint(termTextB, 10, 64)
	if termA != termB {
		return termA < termB
	}
	sequenceA, _ := strconv.ParseUint(sequenceTextA, 10, 64)
	sequenceB, _ := strconv.ParseUint(sequenceTextB, 10, 64)
	return sequenceA < sequenceB
}

package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// accept serves the connections to the member.
func (m *member) accept() {
	for {
		c, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.svc.mu.Lock()
		full := len(m.conns) >= memberMaxConns
		if !full {
			m.conns[c] = true
		}
		m.svc.mu.Unlock()
		if full {
			_, _ = c.Write([]byte("ERROR MAXCONN " + m.id + "\r\n"))
			_ = c.Close()
			continue
		}
		go func() {
			(&session{member: m, conn: c}).serve()
			_ = c.Close()
			m.svc.mu.Lock()
			delete(m.conns, c)
			m.svc.mu.Unlock()
		}()
	}
}

// session is one connection to a member.
type session struct {
	member *member
	conn   net.Conn
	out    strings.Builder

	prepared map[string]string
	// open is set inside a transaction, failed when it can only be ended, and readOnly when it began with BEGIN READ.
	open, failed, readOnly bool
	// term is the member's term when the transaction began.
	term  uint64
	items map[string]string
	ids   []string
}

func (s *session) serve() {
	in := bufio.NewReader(s.conn)
	line, err := in.ReadString('\n')
	words := strings.Fields(line)
	if err != nil || len(words) < 3 || words[0] != "STARTUP" {
		return
	}
	if words[1] != s.member.svc.name || len(words) > 3 && words[3] != s.member.id {
		_, _ = s.conn.Write([]byte("ERROR MOVED " + s.member.id + "\r\n"))
		return
	}
	s.work(handshakeTime)
	s.prepared = map[string]string{}
	s.ready()
	for {
		if _, err := s.conn.Write([]byte(s.out.String())); err != nil {
			return
		}
		s.out.Reset()
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		parts := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
		if parts[0] != "QUERY" || len(parts) != 3 {
			return
		}
		if !s.run(parts[1], parts[2]) {
			return
		}
		s.ready()
	}
}

// work holds a slot of the member for the time.
func (s *session) work(d time.Duration) {
	s.member.slots <- struct{}{}
	time.Sleep(d)
	<-s.member.slots
}

func (s *session) line(words ...string) { s.out.WriteString(strings.Join(words, " ") + "\r\n") }

func (s *session) ready() {
	m := s.member
	m.svc.mu.Lock()
	defer m.svc.mu.Unlock()
	state := "I"
	switch {
	case s.failed:
		state = "E"
	case s.open:
		state = "T"
	}
	s.line("READY", state, endOf(m.applied(), m.term).String())
}

func (s *session) fail(code string) bool {
	s.failed = s.open
	s.line("ERROR", code, s.member.id)
	return true
}

func (s *session) ok(signature string) bool {
	s.line("COMPLETE", signature)
	return true
}

// sign returns the member's signature for a statement.
func (s *session) sign(id string) string { return s.member.id + "." + id }

// run executes one statement. It reports false when the connection ends without an answer.
func (s *session) run(id, text string) bool {
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "SYNCAFTER" {
		after, statement, _ := strings.Cut(rest, " ")
		if s.lacks(after) {
			return s.fail("LAGGING")
		}
		verb, rest, _ = strings.Cut(statement, " ")
	}
	if id != "-" {
		s.member.svc.mu.Lock()
		s.member.svc.ran = append(s.member.svc.ran, id)
		s.member.svc.mu.Unlock()
		s.member.svc.rec.note("member %s runs %s %s", s.member.id, id, text)
	}
	if s.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		return s.fail("MALFORMED")
	}
	switch verb {
	case "BEGIN":
		return s.begin(rest == "READ")
	case "ROLLBACK":
		s.end()
		return s.ok("-")
	case "COMMIT":
		return s.commit(id)
	case "READ":
		return s.read(id, rest)
	case "WRITE":
		item, data, _ := strings.Cut(rest, " ")
		return s.write(id, item, data)
	case "SET":
		return s.ok("-")
	case "PARSE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		return s.ok("-")
	case "CLOSE":
		delete(s.prepared, rest)
		return s.ok("-")
	case "EXECUTE":
		name, arguments, _ := strings.Cut(rest, " ")
		item, data, _ := strings.Cut(arguments, " ")
		shape, known := s.prepared[name]
		switch {
		case !known:
			return s.fail("NOSTMT")
		case strings.HasPrefix(shape, "WRITE"):
			return s.write(id, item, data)
		default:
			return s.read(id, item)
		}
	case "DISCARD":
		s.prepared = map[string]string{}
		return s.ok("-")
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return s.control(verb, rest)
	default:
		return s.fail("MALFORMED")
	}
}

// lacks reports whether the member has not applied the position.
func (s *session) lacks(after string) bool {
	termText, numberText, _ := strings.Cut(after, ".")
	term, _ := strconv.ParseUint(termText, 10, 64)
	number, _ := strconv.ParseUint(numberText, 10, 64)
	m := s.member
	m.svc.mu.Lock()
	defer m.svc.mu.Unlock()
	return endOf(m.applied(), m.term).before(position{term, number})
}

func (s *session) begin(readOnly bool) bool {
	m := s.member
	m.svc.mu.Lock()
	primary, term := m.primary, m.term
	m.svc.mu.Unlock()
	if !readOnly && !primary {
		return s.fail("READONLY")
	}
	s.open, s.readOnly, s.term, s.items, s.ids = true, readOnly, term, map[string]string{}, nil
	return s.ok("-")
}

func (s *session) end() { s.open, s.failed, s.readOnly, s.items, s.ids = false, false, false, nil, nil }

// lostLead reports whether a plain transaction is open and the member has lost the lead since it began.
func (s *session) lostLead() bool {
	m := s.member
	m.svc.mu.Lock()
	defer m.svc.mu.Unlock()
	return s.open && !s.readOnly && (!m.primary || m.term != s.term)
}

func (s *session) read(id, item string) bool {
	if s.lostLead() {
		return s.fail("READONLY")
	}
	s.work(statementTime)
	m := s.member
	m.svc.mu.Lock()
	value := "-"
	for _, e := range m.applied() {
		if v, found := e.items[item]; found {
			value = v
		}
	}
	m.svc.mu.Unlock()
	if v, found := s.items[item]; found {
		value = v
	}
	s.line("DATAROW", value)
	return s.ok(s.sign(id))
}

func (s *session) write(id, item, data string) bool {
	m := s.member
	m.svc.mu.Lock()
	primary := m.primary
	m.svc.mu.Unlock()
	if !primary || s.readOnly || s.lostLead() {
		return s.fail("READONLY")
	}
	s.work(statementTime)
	if s.open {
		s.items[item] = data
		s.ids = append(s.ids, id)
		return s.ok(s.sign(id))
	}
	m.svc.mu.Lock()
	defer m.svc.mu.Unlock()
	if !m.primary {
		return s.fail("READONLY")
	}
	if !m.commit(map[string]string{item: data}, []string{id}) {
		return false
	}
	return s.ok(s.sign(id))
}

func (s *session) commit(id string) bool {
	if !s.open || s.failed {
		s.end()
		return s.fail("ABORTED")
	}
	lost, items, ids := s.lostLead(), s.items, s.ids
	s.end()
	if len(items) > 0 && lost {
		return s.fail("READONLY")
	}
	s.work(statementTime)
	if len(items) == 0 {
		return s.ok(s.sign(id))
	}
	m := s.member
	m.svc.mu.Lock()
	defer m.svc.mu.Unlock()
	if !m.primary {
		return s.fail("READONLY")
	}
	if !m.commit(items, ids) {
		return false
	}
	return s.ok(s.sign(id))
}

// control answers STATUS, PAUSE, RESUME and STEPDOWN with the member's status.
func (s *session) control(verb, rest string) bool {
	s.work(time.Millisecond)
	m := s.member
	m.svc.mu.Lock()
	defer m.svc.mu.Unlock()
	if term, err := strconv.ParseUint(rest, 10, 64); verb == "STEPDOWN" && err == nil && m.primary && m.term < term && m.svc.term >= term {
		m.stepDown()
	}
	role := "replica"
	if m.primary {
		role = "primary"
	}
	lag := time.Duration(0)
	if !m.primary {
		lag = applyLag
	}
	s.line("DATAROW", role, strconv.FormatUint(m.term, 10), m.end().String(), "0", strconv.FormatInt(lag.Milliseconds(), 10),
		strconv.Itoa(len(m.slots)), strconv.Itoa(len(m.conns)))
	s.line("COMPLETE", "-")
	return true
}

// answer is the complete answer to a client's statement.
type answer struct {
	rows                  []string
	signature, code, text string
	state, position       string
}

// client is a session of a client at an instance.
type client struct {
	conn net.Conn
	in   *bufio.Reader
	rec  *recorder
	name string
}

// dial opens a session for the database at an instance.
func dial(rec *recorder, name, address, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn, bufio.NewReader(conn), rec, name}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "STARTUP %s u1\r\n", database); err != nil {
		return nil, err
	}
	line, err := c.in.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY I") {
		_ = conn.Close()
		return nil, fmt.Errorf("the session was not opened: %q, %w", line, err)
	}
	return c, nil
}

// query sends a statement and waits for its answer, for five seconds at most.
func (c *client) query(id, text string) (answer, error) {
	c.rec.note("client %s sends %s %s", c.name, id, text)
	a, err := c.exchange(id, text)
	switch {
	case err != nil:
		c.rec.note("client %s gets no answer to %s: %v", c.name, id, err)
	case a.code != "":
		c.rec.note("client %s gets for %s: ERROR %s %s", c.name, id, a.code, a.text)
	default:
		c.rec.note("client %s gets for %s: %v COMPLETE %s READY %s %s", c.name, id, a.rows, a.signature, a.state, a.position)
	}
	return a, err
}

func (c *client) exchange(id, text string) (answer, error) {
	_ = c.conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{}, err
	}
	return c.receive()
}

// receive waits for the answer to the statement that was sent.
func (c *client) receive() (answer, error) {
	a := answer{}
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, a.text, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, a.position, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}

func (c *client) close() { _ = c.conn.Close() }

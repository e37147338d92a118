package fakepl

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// work is how long a member works at a statement.
const work = 2 * time.Millisecond

// Member is one member of a database.
type Member struct {
	ID      string
	group   *Group
	address string
	slots   chan struct{}

	primary bool
	term    uint64
	log     []commit

	mu        sync.Mutex
	listener  net.Listener
	conns     map[net.Conn]string
	down      bool
	loseReply bool
	silent    bool
	// cut holds the names of callers whose connections the member does not answer.
	cut map[string]bool
}

func (m *Member) listen(listener net.Listener) {
	m.mu.Lock()
	m.listener, m.conns, m.down = listener, map[net.Conn]string{}, false
	m.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			m.mu.Lock()
			m.conns[conn] = ""
			m.mu.Unlock()
			go (&session{member: m, conn: conn, values: map[string]string{}, prepared: map[string]string{}}).serve()
		}
	}()
}

// Crash ends the member and all its connections.
func (m *Member) Crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = true
	_ = m.listener.Close()
	for conn := range m.conns {
		_ = conn.Close()
	}
}

// Restart starts a crashed member with its log; it is a replica when another member leads.
func (m *Member) Restart() error {
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.group.mu.Lock()
	if m.term < m.group.term {
		m.primary = false
	}
	m.group.mu.Unlock()
	m.listen(listener)
	return nil
}

// LoseReplies lets statements run without an answer; the connection ends instead.
func (m *Member) LoseReplies(lose bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loseReply = lose
}

// Silence makes the member take connections and bytes and answer nothing.
func (m *Member) Silence(silent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.silent = silent
}

// CutFrom lets the member's connections from a caller, present and future ones, end or go unanswered.
func (m *Member) CutFrom(caller string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = map[string]bool{caller: true}
	for conn, from := range m.conns {
		if from == caller {
			_ = conn.Close()
		}
	}
}

func (m *Member) isCutFrom(caller string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut[caller]
}

// name notes who opened a connection.
func (m *Member) name(conn net.Conn, caller string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[conn] = caller
}

func (m *Member) isDown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.down
}

func (m *Member) faults() (lose, silent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loseReply, m.silent
}

// applied returns the entries of the log that reads see; the caller holds the group's lock.
func (m *Member) applied() []commit {
	if m.primary {
		return m.log
	}
	now := time.Now()
	n := 0
	for n < len(m.log) && now.Sub(m.log[n].at) >= m.group.Lag {
		n++
	}
	return m.log[:n]
}

func position(log []commit, term uint64) string {
	if len(log) == 0 {
		return strconv.FormatUint(term, 10) + ".0"
	}
	last := log[len(log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.number)
}

// session is one connection.
type session struct {
	member   *Member
	conn     net.Conn
	out      strings.Builder
	values   map[string]string
	prepared map[string]string
	inside   bool
	broken   bool
	writes   map[string]string
	ids      []string
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
	s.member.name(s.conn, fields[2])
	if _, silent := s.member.faults(); silent || s.member.isCutFrom(fields[2]) {
		_, _ = in.ReadString('\n')
		return
	}
	s.ready()
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
		s.run(parts[1], parts[2])
		lose, silent := s.member.faults()
		if lose && parts[1] != "-" {
			return
		}
		if silent {
			s.out.Reset()
			continue
		}
		s.flush()
	}
}

func (s *session) flush() {
	_, _ = s.conn.Write([]byte(s.out.String()))
	s.out.Reset()
}

func (s *session) line(words ...string) { s.out.WriteString(strings.Join(words, " ") + "\r\n") }

func (s *session) ready() {
	g := s.member.group
	g.mu.Lock()
	defer g.mu.Unlock()
	state := "I"
	switch {
	case s.broken:
		state = "E"
	case s.inside:
		state = "T"
	}
	s.line("READY", state, position(s.member.applied(), s.member.term))
}

func (s *session) fail(code string) {
	s.broken = s.inside
	s.line("ERROR", code, s.member.ID)
}

// run carries out one statement and queues the answer.
func (s *session) run(id, text string) {
	defer s.ready()
	g, m := s.member.group, s.member
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "SYNCAFTER" {
		after, statement, _ := strings.Cut(rest, " ")
		g.mu.Lock()
		behind := before(position(m.applied(), m.term), after)
		g.mu.Unlock()
		if behind {
			s.fail("LAGGING")
			return
		}
		verb, rest, _ = strings.Cut(statement, " ")
	}
	if s.broken && verb != "ROLLBACK" && verb != "COMMIT" {
		s.line("ERROR", "MALFORMED", "the transaction has failed")
		return
	}
	s.statement(id, verb, rest)
}

// statement carries out a statement without its prefix.
func (s *session) statement(id, verb, rest string) {
	m, g := s.member, s.member.group
	switch verb {
	case "BEGIN":
		g.mu.Lock()
		readOnly := rest != "READ" && !m.primary
		g.mu.Unlock()
		if readOnly {
			s.fail("READONLY")
			return
		}
		s.inside, s.writes, s.ids = true, map[string]string{}, nil
		s.line("COMPLETE", "-")
	case "ROLLBACK":
		s.inside, s.broken, s.writes = false, false, nil
		s.line("COMPLETE", "-")
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
		s.line("COMPLETE", "-")
	case "PARSE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		s.line("COMPLETE", "-")
	case "EXECUTE":
		s.execute(id, rest)
	case "DISCARD":
		s.values, s.prepared = map[string]string{}, map[string]string{}
		s.line("COMPLETE", "-")
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		s.control(verb, rest)
	default:
		s.fail("MALFORMED")
	}
}

func (s *session) execute(id, rest string) {
	name, arguments, _ := strings.Cut(rest, " ")
	shape, known := s.prepared[name]
	if !known {
		s.fail("NOSTMT")
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
	s.busy()
	m, g := s.member, s.member.group
	g.mu.Lock()
	value := ""
	for _, c := range m.applied() {
		if v, found := c.items[item]; found {
			value = v
		}
	}
	g.mu.Unlock()
	if v, own := s.writes[item]; own {
		value = v
	}
	s.line("DATAROW", "value="+value)
	for name, v := range s.values {
		s.line("DATAROW", name+"="+v)
	}
	s.line("COMPLETE", "sig."+m.ID)
}

func (s *session) write(id, item, data string) {
	m, g := s.member, s.member.group
	g.mu.Lock()
	primary := m.primary
	g.mu.Unlock()
	if !primary {
		s.fail("READONLY")
		return
	}
	s.busy()
	if s.inside {
		s.writes[item] = data
		s.ids = append(s.ids, id)
	} else {
		m.keep(map[string]string{item: data}, id)
	}
	s.line("COMPLETE", "sig."+m.ID)
}

func (s *session) commit() {
	m, g := s.member, s.member.group
	g.mu.Lock()
	lost := len(s.writes) > 0 && !m.primary
	g.mu.Unlock()
	failed := s.broken || !s.inside || lost
	writes, ids := s.writes, s.ids
	s.inside, s.broken, s.writes = false, false, nil
	if failed {
		s.fail("READONLY")
		return
	}
	s.busy()
	if len(writes) > 0 {
		m.keep(writes, ids...)
	}
	s.line("COMPLETE", "sig."+m.ID)
}

// keep appends a commit to the primary's log and to those of the replicas.
func (m *Member) keep(items map[string]string, ids ...string) {
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	c := commit{term: m.term, number: uint64(len(m.log) + 1), at: time.Now(), items: items}
	for _, id := range ids {
		g.runs[id]++
	}
	for _, o := range g.members {
		if o == m || !o.primary && o.term == m.term {
			o.log = append(o.log, c)
		}
	}
}

func (s *session) control(verb, rest string) {
	m, g := s.member, s.member.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if term, err := strconv.ParseUint(rest, 10, 64); verb == "STEPDOWN" && err == nil && term > m.term {
		m.primary, m.term = false, g.term
	}
	role := "replica"
	if m.primary {
		role = "primary"
	}
	s.line("DATAROW", role, strconv.FormatUint(m.term, 10), position(m.log, m.term), "0", "0", "0", "1")
	s.line("COMPLETE", "-")
}

func (s *session) busy() {
	s.member.slots <- struct{}{}
	time.Sleep(work)
	<-s.member.slots
}

// before compares two positions.
func before(a, b string) bool {
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

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
		if s.member.isMute(s.conn) {
			continue
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

func (s *session) control(verb, rest string) {
	m, g := s.member, s.member.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if term, err := strconv.ParseUint(rest, 10, 64); verb == "STEPDOWN" && err == nil && term > m.term {
		g.follow(m)
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

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// entry is a committed write in a log.
type entry struct {
	// attempt is the id of the statement that committed it: the write itself, or the commit of its transaction.
	attempt string
	writes  []string
	term    uint64
	// index is its place in the log.
	index int
}

// service is a database: a primary and its replicas.
type service struct {
	bed     *bed
	name    string
	members []*member

	mu      sync.Mutex
	term    uint64
	primary *member
}

// member is a stand-in for a member of a database. The lock of its service guards its log.
type member struct {
	service  *service
	id, zone string
	slots    chan struct{}
	work     time.Duration
	lag      time.Duration
	role     string
	term     uint64
	log      []*entry
	applied  int
	// leaving is when it said that it drains; zero while it stays.
	leaving time.Time
	down    bool
	// deaf is set while it receives nothing from the primary.
	deaf bool
	// dark is set while it is down and answers nothing, so that connections to it hang.
	dark bool
	// cut is set while it is up, but cut off from all machines of the system. It reaches the other members and the store.
	cut bool
	// cutUntil is when it was last cut off.
	cutUntil time.Time
	born     int64
	listener net.Listener
	address  string
	conns    map[net.Conn]bool
	maxConns int
	nextSign atomic.Uint64
	// rows, if set, makes the rows of a read.
	rows func(item string) []string
}

// run is a statement that a member ran.
type run struct {
	id, text  string
	member    *member
	conn      *memberSession
	at        time.Time
	log       []*entry
	values    map[string]string
	shape     string
	signature string
	rows      []string
	term      uint64
	// late is set when another member was promoted before it ran.
	late bool
	// committed is the entry that the statement made.
	committed *entry
}

func newService(b *bed, name string, zones []string, slots int, work, lag time.Duration, maxConns int) *service {
	g := &service{bed: b, name: name, term: 3}
	for i, zone := range zones {
		m := &member{
			service: g, id: fmt.Sprintf("i-%08x", rand.Uint32()), zone: zone, slots: make(chan struct{}, slots), work: work, lag: lag,
			role: "replica", term: 3, born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}, maxConns: maxConns,
		}
		if i == 0 {
			m.role, g.primary = "primary", m
		}
		g.members = append(g.members, m)
		m.listen()
		go m.replicate()
		go m.beat()
	}
	return g
}

func (m *member) listen() {
	address := m.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	m.service.bed.must(err)
	m.listener, m.address = l, l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(c)
		}
	}()
}

// crash closes all connections and the listener; the log stays.
func (m *member) crash() {
	g := m.service
	g.mu.Lock()
	m.down, m.dark = true, false
	conns := m.conns
	m.conns = map[net.Conn]bool{}
	g.mu.Unlock()
	_ = m.listener.Close()
	for c := range conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	m.service.bed.record("member crashes", m.id)
}

// goDark makes the member silent, as a machine without power is.
func (m *member) goDark() {
	g := m.service
	g.mu.Lock()
	m.down, m.dark = true, true
	g.mu.Unlock()
	g.bed.record("member goes dark", m.id)
}

func (m *member) isDark() bool {
	m.service.mu.Lock()
	defer m.service.mu.Unlock()
	return m.dark || m.cut
}

// awaitLight waits while the member is dark.
func (m *member) awaitLight() {
	for m.isDark() {
		time.Sleep(10 * time.Millisecond)
	}
}

// replace puts a new member at the address of a crashed one, with its log, as a replica if another was promoted. It follows the primary
// when it reaches it.
func (m *member) replace() {
	g := m.service
	g.mu.Lock()
	g.bed.store.drop("servers/" + m.id)
	old := m.id
	m.id, m.down, m.born = fmt.Sprintf("i-%08x", rand.Uint32()), false, time.Now().UnixMilli()
	if g.primary != m {
		m.role = "replica"
		if !g.primary.down && !m.deaf {
			m.follow()
		}
	}
	g.mu.Unlock()
	m.listen()
	g.bed.record("member", m.id, "comes at the address of", old, "with its log of", len(m.log), "entries, as a", m.role)
}

// follow makes the member a replica of the present primary and drops what that one lacks; the lock is held.
func (m *member) follow() {
	p := m.service.primary
	m.role, m.term = "replica", m.service.term
	same := 0
	for same < len(m.log) && same < len(p.log) && m.log[same] == p.log[same] {
		same++
	}
	if same < len(m.log) {
		m.log = append([]*entry{}, m.log[:same]...)
	}
	m.applied = min(m.applied, same)
}

// promote makes the member the primary of the next term after some hundred milliseconds.
func (g *service) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	var next *member
	for _, m := range g.members {
		if m.id == id {
			next = m
		}
	}
	if next == nil || next.down {
		return false
	}
	if next == g.primary {
		return true
	}
	time.AfterFunc(g.bed.promoteTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		old := g.primary
		if next.down || next == old {
			return
		}
		g.term++
		g.primary, next.role, next.term, next.applied = next, "primary", g.term, len(next.log)
		g.bed.record("primary is", next.id, "term", g.term, "log", len(next.log), "old", old.id, "log", len(old.log))
		for _, m := range g.members {
			if m != next && m != old && !m.deaf && !m.down {
				m.follow()
			}
		}
		if !old.down {
			go old.resign()
		}
	})
	return true
}

// resign makes a former primary a replica a second after it can reach the new one.
func (m *member) resign() {
	g := m.service
	for reached := 0; ; time.Sleep(10 * time.Millisecond) {
		g.mu.Lock()
		reached++
		if g.primary.down {
			reached = 0
		}
		done := m.role != "primary" || g.primary == m
		if !done && reached >= 100 {
			m.follow()
			done = true
		}
		g.mu.Unlock()
		if done {
			return
		}
	}
}

// cutOff cuts the member off, or ends that. Connections that were open have ended then.
func (m *member) cutOff(cut bool) {
	g := m.service
	g.mu.Lock()
	m.cut = cut
	conns := m.conns
	if !cut {
		m.conns, m.cutUntil = map[net.Conn]bool{}, time.Now()
	}
	g.mu.Unlock()
	if !cut {
		for c := range conns {
			_ = c.Close()
		}
	}
	g.bed.record("member", m.id, "is cut off:", cut)
}

// replicate copies the primary's log and applies it with a lag.
func (m *member) replicate() {
	g := m.service
	type received struct {
		length int
		at     time.Time
	}
	var pending []received
	for {
		time.Sleep(2 * time.Millisecond)
		g.mu.Lock()
		if m.role == "replica" && !m.down && !m.deaf && !g.primary.down && g.primary.role == "primary" {
			if m.term != g.term {
				m.follow()
			}
			if n := len(g.primary.log); n > len(m.log) {
				m.log = append(m.log, g.primary.log[len(m.log):]...)
				pending = append(pending, received{n, time.Now().Add(m.lag)})
			}
		}
		for len(pending) > 0 && !pending[0].at.After(time.Now()) {
			m.applied = max(m.applied, min(pending[0].length, len(m.log)))
			pending = pending[1:]
		}
		if m.role == "primary" {
			m.applied = len(m.log)
		}
		g.mu.Unlock()
	}
}

// beatTime is the time between two writes of a member's entry; the entry of a member that is silent for three of them is removed.
const beatTime = 1200 * time.Millisecond

// beat writes the member's entry into the store, at once when it changes.
func (m *member) beat() {
	seq := 0
	var wrote time.Time
	last := ""
	for {
		time.Sleep(10 * time.Millisecond)
		g := m.service
		g.mu.Lock()
		id, role, born, down, state := m.id, m.role, m.born, m.down, "ready"
		if !m.leaving.IsZero() {
			state = "draining"
		}
		g.mu.Unlock()
		now := id + role + state
		switch {
		case g.bed.store.isDown():
		case down:
			if time.Since(wrote) > 3*beatTime {
				g.bed.store.drop("servers/" + id)
			}
		case now != last || time.Since(wrote) > beatTime:
			seq++
			last, wrote = now, time.Now()
			value, _ := json.Marshal(map[string]any{
				"backend": g.name, "address": m.address, "zone": m.zone, "version": "v1", "capacity": cap(m.slots), "state": state,
				"warmupLeftMs": 0, "dbRole": role, "seq": seq, "born": born,
			})
			g.bed.store.put("servers/"+id, value)
		}
	}
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// memberSession is a connection to a member.
type memberSession struct {
	member   *member
	who      string
	state    string
	readOnly bool
	values   map[string]string
	prepared map[string]string
	writes   []string
	began    string
}

func (m *member) position() string { return fmt.Sprintf("%d.%d", m.term, m.applied) }

func (m *member) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	m.awaitLight()
	r := bufio.NewReaderSize(c, 4096)
	line, err := readLine(r)
	if err != nil {
		return
	}
	f := strings.Split(line, " ")
	if len(f) < 3 || f[0] != "STARTUP" {
		return
	}
	g := m.service
	if f[1] != g.name || len(f) > 3 && f[3] != m.id {
		_, _ = fmt.Fprintf(c, "ERROR MOVED %s\r\n", m.id)
		return
	}
	g.mu.Lock()
	full, down := len(m.conns) >= m.maxConns, m.down
	if !full && !down {
		m.conns[c] = true
	}
	g.mu.Unlock()
	if down {
		return
	}
	if full {
		_, _ = fmt.Fprintf(c, "ERROR MAXCONN %s\r\n", m.id)
		return
	}
	defer func() {
		g.mu.Lock()
		delete(m.conns, c)
		g.mu.Unlock()
	}()
	time.Sleep(12 * time.Millisecond)
	s := &memberSession{member: m, who: f[2], state: "I", values: map[string]string{}, prepared: map[string]string{}}
	w := bufio.NewWriterSize(c, 4096)
	g.mu.Lock()
	_, _ = fmt.Fprintf(w, "READY I %s\r\n", m.position())
	g.mu.Unlock()
	if w.Flush() != nil {
		return
	}
	for {
		line, err := readLine(r)
		if err != nil {
			return
		}
		m.awaitLight()
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		s.query(w, id, text)
		m.awaitLight()
		if r.Buffered() == 0 && w.Flush() != nil {
			return
		}
	}
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	for err == nil && !strings.HasSuffix(line, "\r\n") {
		var more string
		more, err = r.ReadString('\n')
		line += more
	}
	return strings.TrimSuffix(line, "\r\n"), err
}

func (s *memberSession) end(w *bufio.Writer, message string) {
	g := s.member.service
	g.mu.Lock()
	position := s.member.position()
	g.mu.Unlock()
	_, _ = w.WriteString(message + "READY " + s.state + " " + position + "\r\n")
}

func (s *memberSession) fail(w *bufio.Writer, code string) {
	if s.state == "T" {
		s.state = "E"
	}
	s.end(w, "ERROR "+code+" "+s.member.id+"\r\n")
}

const done = "COMPLETE -\r\n"

// query runs one statement.
func (s *memberSession) query(w *bufio.Writer, id, text string) {
	m, g := s.member, s.member.service
	full := text
	minimum := ""
	if strings.HasPrefix(text, "SYNCAFTER ") {
		f := strings.SplitN(text, " ", 3)
		minimum, text = f[1], f[2]
	}
	verb, rest, _ := strings.Cut(text, " ")
	if s.state == "E" && verb != "ROLLBACK" && verb != "COMMIT" {
		s.end(w, "ERROR MALFORMED "+m.id+"\r\n")
		return
	}
	switch verb {
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		s.end(w, done)
	case "PARSE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		s.end(w, done)
	case "CLOSE":
		delete(s.prepared, rest)
		s.end(w, done)
	case "DISCARD":
		s.values, s.prepared = map[string]string{}, map[string]string{}
		s.end(w, done)
	case "STATUS", "STEPDOWN":
		g.mu.Lock()
		if verb == "STEPDOWN" {
			if term, _ := strconv.ParseUint(rest, 10, 64); m.role == "primary" && m.term < term && g.primary != m {
				m.role = "replica"
				if !g.primary.down {
					m.follow()
				}
			}
		}
		row := fmt.Sprintf("DATAROW %s %d %d.%d 0 %d %d %d\r\n", m.role, m.term, m.term, len(m.log), m.lag.Milliseconds(), len(m.slots), len(m.conns))
		g.mu.Unlock()
		s.end(w, row+done)
	case "BEGIN":
		g.mu.Lock()
		role := m.role
		lagging := m.isBehind(minimum)
		g.mu.Unlock()
		switch {
		case s.state != "I":
			s.fail(w, "MALFORMED")
		case lagging:
			s.fail(w, "LAGGING")
		case role != "primary" && rest != "READ":
			s.fail(w, "READONLY")
		default:
			s.state, s.readOnly, s.writes, s.began = "T", rest == "READ", nil, ""
			s.end(w, done)
		}
	case "ROLLBACK":
		s.state, s.writes = "I", nil
		s.end(w, done)
	case "READ", "WRITE", "EXECUTE", "COMMIT":
		s.execute(w, id, text, full, verb, rest, minimum)
	default:
		s.fail(w, "MALFORMED")
	}
}

// isBehind reports whether the log lacks the position; the lock is held.
func (m *member) isBehind(minimum string) bool {
	if minimum == "" {
		return false
	}
	a, b, _ := strings.Cut(minimum, ".")
	term, _ := strconv.ParseUint(a, 10, 64)
	number, _ := strconv.Atoi(b)
	return m.term < term || m.term == term && m.applied < number
}

func (s *memberSession) execute(w *bufio.Writer, id, text, full, verb, rest, minimum string) {
	m, g := s.member, s.member.service
	access, shape, item := verb, "", rest
	if verb == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		known := ""
		if known = s.prepared[name]; known == "" {
			s.fail(w, "NOSTMT")
			return
		}
		access, _, _ = strings.Cut(known, " ")
		shape, item = known, arguments
	}
	if verb == "COMMIT" && s.state == "E" {
		s.state = "I"
		s.end(w, "ERROR ABORTED "+m.id+"\r\n")
		return
	}
	select {
	case m.slots <- struct{}{}:
	case <-time.After(50 * time.Millisecond):
		s.end(w, "ERROR BUSY "+m.id+"\r\n")
		return
	}
	time.Sleep(m.work/2 + time.Duration(rand.Int64N(int64(m.work)+1)))
	<-m.slots
	g.mu.Lock()
	if m.down {
		g.mu.Unlock()
		return
	}
	if m.isBehind(minimum) {
		g.mu.Unlock()
		s.fail(w, "LAGGING")
		return
	}
	primary := m.role == "primary"
	if !primary && (access == "WRITE" || s.state == "T" && !s.readOnly && (verb != "COMMIT" || len(s.writes) > 0)) || access == "WRITE" && s.readOnly && s.state == "T" {
		g.mu.Unlock()
		s.fail(w, "READONLY")
		return
	}
	applied := m.applied
	if primary {
		applied = len(m.log)
	}
	ran := &run{
		id: id, text: full, member: m, conn: s, at: time.Now(), log: m.log[:applied:applied], shape: shape, term: m.term, late: g.primary != m, values: map[string]string{},
	}
	for name, value := range s.values {
		ran.values[name] = value
	}
	var commits []string
	switch {
	case access == "WRITE" && s.state == "I":
		commits = []string{id}
	case access == "WRITE":
		s.writes = append(s.writes, id)
	case verb == "COMMIT":
		commits, s.state, s.writes = s.writes, "I", nil
	}
	if len(commits) > 0 {
		ran.committed = &entry{attempt: id, writes: commits, term: m.term, index: len(m.log)}
		m.log = append(m.log, ran.committed)
		m.applied = len(m.log)
	}
	position := m.position()
	g.mu.Unlock()
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id + item + m.id))
	ran.signature = fmt.Sprintf("7.%x.%s.%x", m.nextSign.Add(1), m.id, hash.Sum64())
	if access == "READ" {
		ran.rows = []string{fmt.Sprintf("row-%d-%s", len(ran.log), item)}
		if m.rows != nil {
			ran.rows = m.rows(item)
		}
	}
	g.bed.addRun(ran)
	for _, row := range ran.rows {
		_, _ = w.WriteString("DATAROW " + row + "\r\n")
	}
	_, _ = w.WriteString("COMPLETE " + ran.signature + "\r\nREADY " + s.state + " " + position + "\r\n")
}

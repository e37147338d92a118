package fakepl

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"
)

// maxConnections is the most connections that a member takes, as the stand-in's configuration says.
const maxConnections = 16

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
	// mute are connections on which nothing is answered any more.
	mute map[net.Conn]bool
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
			if !m.admit(conn) {
				_, _ = conn.Write([]byte("ERROR MAXCONN " + m.ID + "\r\n"))
				_ = conn.Close()
				continue
			}
			go func() {
				defer m.forget(conn)
				(&session{member: m, conn: conn, values: map[string]string{}, prepared: map[string]string{}}).serve()
			}()
		}
	}()
}

// admit counts a connection unless there are too many.
func (m *Member) admit(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.conns) >= maxConnections {
		return false
	}
	m.conns[conn] = ""
	return true
}

func (m *Member) forget(conn net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, conn)
	delete(m.mute, conn)
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
		m.group.follow(m)
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

// SilenceConnections makes the member take bytes on its present connections and answer nothing there; new ones work.
func (m *Member) SilenceConnections() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mute = map[net.Conn]bool{}
	for conn := range m.conns {
		m.mute[conn] = true
	}
}

func (m *Member) isMute(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mute[conn]
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

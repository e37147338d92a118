package fakepl

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"
)

// maxConnsPerMember is the most connections that a member takes, as the stand-in's configuration says.
const maxConnsPerMember = 16

// statementTime is how long a member works at a statement.
const statementTime = 2 * time.Millisecond

// Member is one member of a database.
type Member struct {
	ID      string
	group   *Group
	address string
	slots   chan struct{}

	primary bool
	term    uint64
	log     []logEntry

	mu            sync.Mutex
	listener      net.Listener
	conns         map[net.Conn]string
	down          bool
	loseResponses bool
	unresponsive  bool
	// unresponsiveConns are connections on which nothing is answered any more.
	unresponsiveConns map[net.Conn]bool
	// partitionedCallers holds the names of callers whose connections the member does not answer.
	partitionedCallers map[string]bool
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
			if !m.addConn(conn) {
				_, _ = conn.Write([]byte("ERROR MAXCONN " + m.ID + "\r\n"))
				_ = conn.Close()
				continue
			}
			go func() {
				defer m.removeConn(conn)
				(&session{member: m, conn: conn, values: map[string]string{}, prepared: map[string]string{}}).serve()
			}()
		}
	}()
}

// addConn counts a connection unless there are too many.
func (m *Member) addConn(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.conns) >= maxConnsPerMember {
		return false
	}
	m.conns[conn] = ""
	return true
}

func (m *Member) removeConn(conn net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, conn)
	delete(m.unresponsiveConns, conn)
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
		m.group.makeReplica(m)
	}
	m.group.mu.Unlock()
	m.listen(listener)
	return nil
}

// LoseResponses lets statements run without an answer; the connection ends instead.
func (m *Member) LoseResponses(lose bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loseResponses = lose
}

// SetUnresponsive makes the member take connections and bytes and answer nothing.
func (m *Member) SetUnresponsive(silent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unresponsive = silent
}

// MakeOpenConnsUnresponsive makes the member take bytes on its present connections and answer nothing there; new ones work.
func (m *Member) MakeOpenConnsUnresponsive() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unresponsiveConns = map[net.Conn]bool{}
	for conn := range m.conns {
		m.unresponsiveConns[conn] = true
	}
}

func (m *Member) isUnresponsiveConn(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unresponsiveConns[conn]
}

// PartitionFrom lets the member's connections from a caller, present and future ones, end or go unanswered.
func (m *Member) PartitionFrom(caller string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.partitionedCallers = map[string]bool{caller: true}
	for conn, from := range m.conns {
		if from == caller {
			_ = conn.Close()
		}
	}
}

func (m *Member) isPartitionedFrom(caller string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.partitionedCallers[caller]
}

// recordCaller notes who opened a connection.
func (m *Member) recordCaller(conn net.Conn, caller string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[conn] = caller
}

func (m *Member) isDown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.down
}

func (m *Member) responseFaults() (lose, silent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loseResponses, m.unresponsive
}

// appliedLog returns the entries of the log that reads see; the caller holds the group's lock.
func (m *Member) appliedLog() []logEntry {
	if m.primary {
		return m.log
	}
	now := time.Now()
	n := 0
	for n < len(m.log) && now.Sub(m.log[n].committedAt) >= m.group.ApplyLag {
		n++
	}
	return m.log[:n]
}

func logPosition(log []logEntry, term uint64) string {
	if len(log) == 0 {
		return strconv.FormatUint(term, 10) + ".0"
	}
	last := log[len(log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.sequence)
}

// appendToLogs appends a commit to the primary's log and to those of the replicas.
func (m *Member) appendToLogs(items map[string]string, ids ...string) {
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	c := logEntry{term: m.term, sequence: uint64(len(m.log) + 1), committedAt: time.Now(), items: items}
	for _, id := range ids {
		g.effectCounts[id]++
	}
	for _, o := range g.members {
		if o == m || !o.primary && o.term == m.term {
			o.log = append(o.log, c)
		}
	}
}

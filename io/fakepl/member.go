package fakepl

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// maxConnsPerMember is the largest number of connections that a member accepts. Platform.Configure writes the same limit into
// the configuration.
const maxConnsPerMember = 16

// statementTime is the time for which a statement holds a slot of its member.
const statementTime = 2 * time.Millisecond

// Member is one member of a database.
type Member struct {
	ID      string
	group   *Group
	address string
	// slots limits the statements that run at the same time.
	slots chan struct{}

	// The mutex of the group guards the role, the term and the log.
	primary bool
	term    uint64
	log     []logEntry
	// deaf makes the replica receive nothing.
	deaf bool

	mu       sync.Mutex
	listener net.Listener
	// conns holds the open connections, each with the name of its caller, which is empty before the start-up line.
	conns         map[net.Conn]string
	down          bool
	loseResponses bool
	unresponsive  bool
	// unresponsiveConns holds the connections on which the member no longer responds.
	unresponsiveConns map[net.Conn]bool
	// signatures counts the answers that the member has signed.
	signatures atomic.Uint64
	// partitionedCallers holds the names of the callers to which the member does not respond.
	partitionedCallers map[string]bool
	stutter            Stutter
	// random draws for stutter; nil before the first call of Stutter.
	random *rand.Rand
	// repeated counts the statements that were answered twice.
	repeated int
}

// Address returns the IP address and port on which the member accepts connections.
func (m *Member) Address() string { return m.address }

// listen starts to accept connections and serves each one in its own goroutine.
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
				_, _ = conn.Write([]byte(formatMessage("ERROR", "MAXCONN", m.ID)))
				_ = conn.Close()
				continue
			}
			go func() {
				defer m.removeConn(conn)
				(&session{member: m, conn: conn, number: m.group.nextNumber(), values: map[string]string{}, prepared: map[string]string{}}).serve()
			}()
		}
	}()
}

// addConn records a new connection. It returns false if the member has maxConnsPerMember already.
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

// Crash stops the member and closes all its connections.
func (m *Member) Crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = true
	_ = m.listener.Close()
	for conn := range m.conns {
		_ = conn.Close()
	}
}

// Restart starts a crashed member again with the log that it had. If there has been a promotion since, it becomes a
// replica, which follows the new primary unless it is deaf.
func (m *Member) Restart() error {
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.group.mu.Lock()
	switch {
	case m.term == m.group.term:
	case m.deaf:
		m.primary = false
	default:
		m.group.makeReplica(m)
	}
	m.group.mu.Unlock()
	m.listen(listener)
	m.publishEntry("ready")
	return nil
}

// LoseResponses makes statements take effect without a response; the member closes the connection instead. Statements
// with the id - still get a response.
func (m *Member) LoseResponses(lose bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loseResponses = lose
}

// SetUnresponsive makes the member accept connections and read from them without any response. Statements on connections that
// were open before still take effect.
func (m *Member) SetUnresponsive(unresponsive bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unresponsive = unresponsive
}

// MakeOpenConnsUnresponsive makes the member read from its open connections without any response; statements on them have no
// effect. New connections work.
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

// PartitionFrom simulates a network partition between the member and callers: the open connections from the callers
// are closed, and new ones get no response. They replace the callers of the last call; none ends the partition.
func (m *Member) PartitionFrom(callers ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.partitionedCallers = map[string]bool{}
	for _, caller := range callers {
		m.partitionedCallers[caller] = true
	}
	for conn, name := range m.conns {
		if m.partitionedCallers[name] {
			_ = conn.Close()
		}
	}
}

func (m *Member) isPartitionedFrom(caller string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.partitionedCallers[caller]
}

// recordCaller stores the name of the caller that opened a connection.
func (m *Member) recordCaller(conn net.Conn, caller string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[conn] = caller
}

// sign returns the signature of the answer to the statement. No two answers have the same one.
func (m *Member) sign(id string) string {
	return fmt.Sprintf("sig.%s.%s.%d", m.ID, id, m.signatures.Add(1))
}

// SetDeaf makes a replica receive nothing of the primary's log; afterwards it receives all that it has missed.
func (m *Member) SetDeaf(deaf bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.deaf = deaf
	if !deaf && !m.primary {
		m.group.makeReplica(m)
	}
}

func (m *Member) isDown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.down
}

// responseFaults returns whether responses are lost and whether the member is unresponsive.
func (m *Member) responseFaults() (lose, unresponsive bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loseResponses, m.unresponsive
}

// appliedLog returns the log entries that reads see: all on the primary, those older than ApplyLag on a replica. The
// caller holds the lock of the group.
func (m *Member) appliedLog() []logEntry {
	if m.primary {
		return m.log
	}
	now := time.Now()
	applied := 0
	for applied < len(m.log) && now.Sub(m.log[applied].committedAt) >= m.group.ApplyLag {
		applied++
	}
	return m.log[:applied]
}

// logPosition returns the position of the last log entry as TERM.SEQUENCE, or TERM.0 with the given term for an empty
// log.
func logPosition(log []logEntry, term uint64) string {
	if len(log) == 0 {
		return strconv.FormatUint(term, 10) + ".0"
	}
	last := log[len(log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.sequence)
}

// appendToLogs appends a commit to the log of the primary and to those of the replicas of its term. It counts the
// commit as an effect of each statement id.
func (m *Member) appendToLogs(items map[string]string, ids ...string) {
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	c := logEntry{term: m.term, sequence: uint64(len(m.log) + 1), committedAt: time.Now(), items: items}
	for _, id := range ids {
		g.effectCounts[id]++
		if m != g.present && c.committedAt.Sub(g.promotedAt) > lateAfter {
			g.lateCommits[id] = true
		}
	}
	for _, o := range g.members {
		if o == m || !o.primary && !o.deaf && o.term == m.term {
			o.log = append(o.log, c)
		}
	}
}

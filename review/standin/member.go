package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Figures of a small deployment: the network between zones, the apply lag of replicas, a promotion, a new connection, and the
// members' slots and connections.
const (
	replicationDelay = 1400 * time.Microsecond
	applyLag         = 60 * time.Millisecond
	promoteDelay     = time.Second
	handshakeTime    = 12 * time.Millisecond
	statementTime    = 3 * time.Millisecond
	memberSlots      = 2
	memberMaxConns   = 16
	heartbeat        = 1200 * time.Millisecond
)

// position is a place in a member's log.
type position struct{ term, number uint64 }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

func (p position) before(o position) bool {
	return p.term < o.term || p.term == o.term && p.number < o.number
}

// entry is a commit in a member's log.
type entry struct {
	at position
	// items are the values that the commit wrote, ids the statements that wrote them.
	items map[string]string
	ids   []string
	// received is when this member got the entry.
	received time.Time
}

// service is a database with its members. Its mutex guards all members.
type service struct {
	name         string
	syncReplicas int
	store        *store
	rec          *recorder

	mu      sync.Mutex
	members []*member
	term    uint64
	// leader is the member that was promoted last, and leads since then.
	leader *member
	leadAt time.Time
	// ran are the ids of the statements that the members have run, in order.
	ran []string
	// stray are the commits at a primary that had been replaced.
	stray []strayCommit
	// lastPromoted is the log with which the last promoted member took over.
	lastPromoted []entry
	receipt      *sync.Cond
}

// strayCommit is a commit at a former primary after another member has taken over.
type strayCommit struct {
	member string
	at     position
	ids    []string
	after  time.Duration
}

// member is one member of the service.
type member struct {
	id, zone, address string
	svc               *service
	slots             chan struct{}

	primary bool
	term    uint64
	log     []entry
	// source is the primary whose log a replica receives.
	source   *member
	down     bool
	draining bool
	// deafUntil is the moment until which the member receives nothing from its primary.
	deafUntil time.Time
	// cutUntil is the moment until which the member does not reach the store.
	cutUntil time.Time
	beatAt   time.Time
	conns    map[net.Conn]bool
	listener net.Listener
	seq      int
	born     int64
}

func newService(name string, syncReplicas int, s *store, rec *recorder, ids ...string) (*service, error) {
	svc := &service{name: name, syncReplicas: syncReplicas, store: s, rec: rec, term: 1}
	svc.receipt = sync.NewCond(&svc.mu)
	for i, id := range ids {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		m := &member{
			id: id, zone: zones[i%len(zones)], address: l.Addr().String(), svc: svc, slots: make(chan struct{}, memberSlots), term: 1,
			conns: map[net.Conn]bool{}, listener: l, born: time.Now().UnixMilli(),
		}
		svc.members = append(svc.members, m)
	}
	svc.leader, svc.leadAt = svc.members[0], time.Now()
	svc.leader.primary = true
	for _, m := range svc.members[1:] {
		m.source = svc.leader
	}
	for _, m := range svc.members {
		go m.accept()
		go m.beat()
	}
	return svc, nil
}

// member returns the member with the id, or nil.
func (s *service) member(id string) *member {
	for _, m := range s.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// publish writes the member's entry, if the member reaches the store; the caller holds the lock.
func (m *member) publish() {
	if time.Now().Before(m.cutUntil) {
		return
	}
	role, state := "replica", "ready"
	if m.primary {
		role = "primary"
	}
	if m.draining {
		state = "draining"
	}
	m.seq++
	m.svc.store.put("servers/"+m.id, map[string]any{
		"backend": m.svc.name, "address": m.address, "zone": m.zone, "version": "v1", "capacity": memberSlots, "state": state,
		"warmupLeftMs": 0, "seq": m.seq, "dbRole": role, "born": m.born,
	})
}

// beat writes the member's entry every heartbeat while it runs and reaches the store. The entry is removed after three heartbeats of
// silence.
func (m *member) beat() {
	for silent := 0; ; time.Sleep(heartbeat) {
		m.svc.mu.Lock()
		m.beatAt = time.Now()
		if m.down || time.Now().Before(m.cutUntil) {
			if silent++; silent == 3 {
				m.svc.store.remove("servers/" + m.id)
				m.svc.rec.note("the entry of %s is removed after three heartbeats of silence", m.id)
			}
		} else {
			silent = 0
			m.publish()
		}
		m.svc.mu.Unlock()
	}
}

// cutFromStore cuts the member off from the store for the time; it reaches everybody else.
func (m *member) cutFromStore(d time.Duration) {
	m.svc.mu.Lock()
	defer m.svc.mu.Unlock()
	m.cutUntil = time.Now().Add(d)
	m.svc.rec.note("member %s is cut off from the store for %s", m.id, d)
}

// drain makes the member report that it is about to stop; it goes on serving.
func (m *member) drain() {
	m.svc.mu.Lock()
	defer m.svc.mu.Unlock()
	m.draining = true
	m.publish()
	m.svc.rec.note("member %s reports draining", m.id)
}

// crash ends the member without a word.
func (m *member) crash() {
	m.svc.mu.Lock()
	defer m.svc.mu.Unlock()
	m.down = true
	_ = m.listener.Close()
	for c := range m.conns {
		_ = c.Close()
	}
	m.svc.rec.note("member %s crashes, its log ends at %s", m.id, m.end())
}

// deafen makes a replica receive nothing from its primary for the time.
func (m *member) deafen(d time.Duration) {
	m.svc.mu.Lock()
	defer m.svc.mu.Unlock()
	m.deafUntil = time.Now().Add(d)
	m.svc.rec.note("replica %s receives nothing for %s, its log ends at %s", m.id, d, m.end())
	time.AfterFunc(d, func() {
		m.svc.mu.Lock()
		defer m.svc.mu.Unlock()
		m.svc.rec.note("replica %s receives again", m.id)
		m.catchUp()
	})
}

// catchUp gives a replica what it lacks of its primary's log; the caller holds the lock.
func (m *member) catchUp() {
	if m.source == nil || m.source.down || m.down || time.Now().Before(m.deafUntil) {
		return
	}
	for _, e := range m.source.log[min(len(m.log), len(m.source.log)):] {
		e.received = time.Now()
		m.log = append(m.log, e)
	}
	m.svc.receipt.Broadcast()
}

// end returns the position of the last entry that the member holds; the caller holds the lock.
func (m *member) end() position { return endOf(m.log, m.term) }

func endOf(log []entry, term uint64) position {
	if len(log) == 0 {
		return position{term, 0}
	}
	return log[len(log)-1].at
}

// applied returns the part of the log that reads see; the caller holds the lock.
func (m *member) applied() []entry {
	if m.primary {
		return m.log
	}
	n := 0
	for n < len(m.log) && time.Since(m.log[n].received) >= applyLag {
		n++
	}
	return m.log[:n]
}

// commit appends a commit to the primary's log, sends it to the replicas, and waits until as many as the service demands have
// received it. It reports false when the member is no primary any more or goes down meanwhile; the caller holds the lock.
func (m *member) commit(items map[string]string, ids []string) bool {
	s := m.svc
	if !m.primary || m.down {
		return false
	}
	e := entry{at: position{m.term, uint64(len(m.log)) + 1}, items: items, ids: ids, received: time.Now()}
	m.log = append(m.log, e)
	if m.term < s.term {
		stray := strayCommit{m.id, e.at, ids, time.Since(s.leadAt)}
		s.stray = append(s.stray, stray)
		s.rec.note("commit %s of %v at the old primary %s, %s after %s has taken over", e.at, ids, m.id, stray.after.Round(time.Millisecond), s.leader.id)
	}
	for _, o := range s.members {
		if o.source == m && !o.primary {
			time.AfterFunc(replicationDelay, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				if o.source == m {
					o.catchUp()
				}
			})
		}
	}
	for m.receivers(e.at) < s.syncReplicas {
		if m.down || !m.primary {
			return false
		}
		s.receipt.Wait()
	}
	return !m.down
}

// receivers returns how many replicas of the primary hold the position; the caller holds the lock.
func (m *member) receivers(p position) int {
	n := 0
	for _, o := range m.svc.members {
		if o != m && o.source == m && !o.end().before(p) {
			n++
		}
	}
	return n
}

// promote makes the member the primary of the next term after promoteDelay, with what it has received by then. It returns the
// HTTP status of the platform's answer.
func (s *service) promote(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.member(id)
	if m == nil || m.down {
		return 409
	}
	if m == s.leader {
		return 200
	}
	time.AfterFunc(promoteDelay, func() { s.takeOver(m) })
	return 200
}

func (s *service) takeOver(m *member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.down || m == s.leader {
		return
	}
	s.term++
	m.primary, m.term, m.source = true, s.term, nil
	s.leader, s.leadAt = m, time.Now()
	s.lastPromoted = append([]entry(nil), m.log...)
	s.rec.note("member %s leads term %d, its log ends at %s", m.id, s.term, m.end())
	for _, o := range s.members {
		if o != m && !o.primary && !o.down {
			o.follow(m)
		}
	}
	m.publish()
	s.receipt.Broadcast()
	// An old primary that reaches the new one becomes its replica after a second.
	time.AfterFunc(time.Second, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, o := range s.members {
			if o.primary && o.term < s.term && !o.down {
				o.stepDown()
			}
		}
	})
}

// follow makes the member a replica of the primary; what the primary's log lacks is rolled back. The caller holds the lock.
func (m *member) follow(primary *member) {
	m.primary, m.term, m.source = false, primary.term, primary
	same := 0
	for same < len(m.log) && same < len(primary.log) && m.log[same].at == primary.log[same].at {
		same++
	}
	m.log = m.log[:same]
	m.catchUp()
	m.publish()
}

// stepDown makes an old primary a replica of the present one; the caller holds the lock.
func (m *member) stepDown() {
	m.svc.rec.note("old primary %s steps down, its log ends at %s", m.id, m.end())
	m.follow(m.svc.leader)
	m.svc.receipt.Broadcast()
}

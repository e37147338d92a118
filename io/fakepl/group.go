package fakepl

import (
	"encoding/json"
	"net"
	"sync"
	"time"
)

// logEntry is one commit in the log of a member.
type logEntry struct {
	term, sequence uint64
	committedAt    time.Time
	items          map[string]string
}

// Group is a database with its members. Its mutex guards the role, the term and the log of all members.
type Group struct {
	Name string
	// ApplyLag is the time after which replicas apply a commit. PromoteDelay is the duration of a promotion. DemoteDelay
	// is the time after a promotion at which an earlier primary follows the new one although it received no STEPDOWN.
	ApplyLag     time.Duration
	PromoteDelay time.Duration
	DemoteDelay  time.Duration

	store *Store
	mu    sync.Mutex
	// present is the primary of the newest term, running or not, and promotedAt when its promotion took effect.
	present         *Member
	promotedAt      time.Time
	lateCommits     map[string]bool
	members         []*Member
	term            uint64
	promotionTokens []uint64
	effectCounts    map[string]int
	runs            []Run
	// lastNumber is the number of the newest connection or transaction.
	lastNumber uint64
}

// NewGroup starts the members of a database on loopback, the first one as primary, and writes their entries to the
// store.
func NewGroup(store *Store, name string, lag time.Duration, ids ...string) (*Group, error) {
	g := &Group{Name: name, ApplyLag: lag, PromoteDelay: 50 * time.Millisecond, DemoteDelay: time.Second, store: store, term: 1, effectCounts: map[string]int{}, lateCommits: map[string]bool{}}
	for i, id := range ids {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		m := &Member{ID: id, group: g, address: listener.Addr().String(), primary: i == 0, term: 1, slots: make(chan struct{}, 4)}
		g.members = append(g.members, m)
		m.listen(listener)
		m.publishEntry("ready")
	}
	g.present = g.members[0]
	return g, nil
}

// nextNumber returns a number for a connection or a transaction.
func (g *Group) nextNumber() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastNumber++
	return g.lastNumber
}

// Member returns the member with the id.
func (g *Group) Member(id string) *Member {
	for _, m := range g.members {
		if m.ID == id {
			return m
		}
	}
	return nil
}

// Primary returns the id of the primary with the highest term, or an empty text when there is no primary.
func (g *Group) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	primary := ""
	highest := uint64(0)
	for _, m := range g.members {
		if m.primary && m.term > highest {
			primary, highest = m.ID, m.term
		}
	}
	return primary
}

// PromotionTokens returns the fencing tokens of all accepted promotions in order.
func (g *Group) PromotionTokens() []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]uint64(nil), g.promotionTokens...)
}

// EffectCount returns how often the write with the statement id was committed.
func (g *Group) EffectCount(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.effectCounts[id]
}

// lateAfter is how long after a promotion a commit at the earlier primary may have been on its way.
const lateAfter = 300 * time.Millisecond

// IsLateCommit reports whether the write with the statement id was committed at an earlier primary, later than lateAfter after the promotion
// of another member took effect.
func (g *Group) IsLateCommit(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lateCommits[id]
}

// CommittedValues returns the values committed to the item, in the order of the log of the primary of the current term.
func (g *Group) CommittedValues(item string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var values []string
	for _, m := range g.members {
		if !m.primary || m.term != g.term {
			continue
		}
		for _, c := range m.log {
			if value, written := c.items[item]; written {
				values = append(values, value)
			}
		}
	}
	return values
}

// Promote makes the member the primary of the next term after PromoteDelay. It returns the HTTP status of the
// platform's response: 200, or 409 if the member is unknown or down. The promotion of the present primary changes nothing.
func (g *Group) Promote(token uint64, id string) int {
	m := g.Member(id)
	if m == nil || m.isDown() {
		return 409
	}
	g.mu.Lock()
	g.promotionTokens = append(g.promotionTokens, token)
	isPresent := m == g.present
	g.mu.Unlock()
	if isPresent {
		return 200
	}
	time.AfterFunc(g.PromoteDelay, func() {
		g.mu.Lock()
		g.term++
		g.present, g.promotedAt, m.primary, m.term = m, time.Now(), true, g.term
		for _, o := range g.members {
			if o != m && !o.primary && !o.deaf {
				o.term, o.log = g.term, append([]logEntry(nil), m.log...)
			}
		}
		g.mu.Unlock()
		m.publishEntry("ready")
		time.AfterFunc(g.DemoteDelay, g.demoteOldPrimaries)
	})
	return 200
}

// demoteOldPrimaries makes every running primary of an earlier term a replica of the newest primary. The platform's
// members do the same when they reach the newest primary.
func (g *Group) demoteOldPrimaries() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.primary && m.term < g.term && !m.isDown() {
			g.makeReplica(m)
		}
	}
}

// makeReplica makes the member a replica with the log of the newest primary; the caller holds the lock of the group.
func (g *Group) makeReplica(m *Member) {
	m.primary, m.term = false, g.term
	for _, o := range g.members {
		if o.primary && o.term == g.term {
			m.log = append([]logEntry(nil), o.log...)
		}
	}
}

// Close stops all members and their connections.
func (g *Group) Close() {
	for _, m := range g.members {
		m.Crash()
	}
}

// memberEntry is the store's entry of a member, in the platform's format.
type memberEntry struct {
	Backend      string `json:"backend"`
	Address      string `json:"address"`
	Zone         string `json:"zone"`
	Version      string `json:"version"`
	Capacity     int    `json:"capacity"`
	State        string `json:"state"`
	WarmupLeftMs int    `json:"warmupLeftMs"`
	DBRole       string `json:"dbRole"`
	Seq          int    `json:"seq"`
	Born         int64  `json:"born"`
}

// publishEntry writes the entry of the member with the state to the store.
func (m *Member) publishEntry(state string) {
	role := "replica"
	m.group.mu.Lock()
	if m.primary {
		role = "primary"
	}
	m.group.mu.Unlock()
	value, err := json.Marshal(memberEntry{
		Backend: m.group.Name, Address: m.address, Zone: "z1", Version: "v1", Capacity: cap(m.slots), State: state, DBRole: role,
		Seq: 1, Born: 1,
	})
	if err != nil {
		panic(err)
	}
	m.group.store.Put("servers/"+m.ID, value)
}

// Drain publishes that the member is about to stop.
func (m *Member) Drain() { m.publishEntry("draining") }

// CancelDrain publishes that the member accepts statements again.
func (m *Member) CancelDrain() { m.publishEntry("ready") }

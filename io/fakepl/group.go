package fakepl

import (
	"encoding/json"
	"net"
	"sync"
	"time"
)

// logEntry is one entry of a log.
type logEntry struct {
	term, sequence uint64
	committedAt    time.Time
	items          map[string]string
}

// Group is a database with its members; the members share one lock.
type Group struct {
	Name string
	// ApplyLag is how late replicas apply, PromoteDelay how long a promotion takes, and DemoteDelay after which an earlier primary
	// follows the new one without being told.
	ApplyLag     time.Duration
	PromoteDelay time.Duration
	DemoteDelay  time.Duration

	store           *Store
	mu              sync.Mutex
	members         []*Member
	term            uint64
	promotionTokens []uint64
	effectCounts    map[string]int
}

// NewGroup starts a database with members on loopback, the first one as primary, and writes their entries.
func NewGroup(store *Store, name string, lag time.Duration, ids ...string) (*Group, error) {
	g := &Group{Name: name, ApplyLag: lag, PromoteDelay: 50 * time.Millisecond, DemoteDelay: time.Second, store: store, term: 1, effectCounts: map[string]int{}}
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
	return g, nil
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

// Primary returns the id of the member that leads the highest term.
func (g *Group) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	best := ""
	highest := uint64(0)
	for _, m := range g.members {
		if m.primary && m.term > highest {
			best, highest = m.ID, m.term
		}
	}
	return best
}

// PromotionTokens returns the tokens of all promotions in their order.
func (g *Group) PromotionTokens() []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]uint64(nil), g.promotionTokens...)
}

// EffectCount returns how often the statement with the id ran and took effect as a write.
func (g *Group) EffectCount(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.effectCounts[id]
}

// CommittedValues returns the values that were committed to the item, in the order of the newest primary's log.
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

// Promote makes the member primary of the next term shortly; it returns the status of the platform's answer.
func (g *Group) Promote(token uint64, id string) int {
	m := g.Member(id)
	if m == nil || m.isDown() {
		return 409
	}
	g.mu.Lock()
	g.promotionTokens = append(g.promotionTokens, token)
	g.mu.Unlock()
	time.AfterFunc(g.PromoteDelay, func() {
		g.mu.Lock()
		g.term++
		m.primary, m.term = true, g.term
		for _, o := range g.members {
			if o != m && !o.primary {
				o.term, o.log = g.term, append([]logEntry(nil), m.log...)
			}
		}
		g.mu.Unlock()
		m.publishEntry("ready")
		time.AfterFunc(g.DemoteDelay, g.demoteOldPrimaries)
	})
	return 200
}

// demoteOldPrimaries makes every running primary of an earlier term a replica of the newest, as the platform's members do when they
// reach it.
func (g *Group) demoteOldPrimaries() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.primary && m.term < g.term && !m.isDown() {
			g.makeReplica(m)
		}
	}
}

// makeReplica makes the member a replica with the log of the newest primary; the caller holds the group's lock.
func (g *Group) makeReplica(m *Member) {
	m.primary, m.term = false, g.term
	for _, o := range g.members {
		if o.primary && o.term == g.term {
			m.log = append([]logEntry(nil), o.log...)
		}
	}
}

// Close ends all members.
func (g *Group) Close() {
	for _, m := range g.members {
		m.Crash()
	}
}

// memberEntry is a member's entry in the platform's form.
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

// Drain announces that the member is about to leave.
func (m *Member) Drain() { m.publishEntry("draining") }

// CancelDrain announces that the member takes work again.
func (m *Member) CancelDrain() { m.publishEntry("ready") }

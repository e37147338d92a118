package fakedb

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

// Member is a running stand-in for a member of a database.
type Member struct {
	settings   Settings
	listener   net.Listener
	logger     hclog.Logger
	slots      slots
	goroutines sync.WaitGroup
	// closing is closed when the member stops.
	closing chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	changed signal
	journal *journal
	durable durableState
	role    Role
	leaving bool
	closed  bool
	delays  delays

	log       replicatedLog
	tables    tables
	applied   types.Position
	committed types.Position
	// acknowledged holds the last position that each replica has received from this primary.
	acknowledged map[types.TargetID]types.Position
	upstream     upstream

	locks         map[rowKey]*rowLock
	advisoryLocks map[int64]*advisoryLock
	usage         usageByCustomer
	conns         map[net.Conn]struct{}
	sessions      map[processID]*session
	lastProcess   processID
	ownerCalls    ownerCalls
}

// delays are the lags and the statement time, which can be changed while the member runs.
type delays struct {
	receive   time.Duration
	apply     time.Duration
	statement time.Duration
}

// Start listens on the address of the settings and serves until Close or Leave.
func Start(settings Settings) (*Member, error) {
	settings = settings.withDefaults()
	opened, saved, err := openJournal(settings.StatePath)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", settings.Address)
	if err != nil {
		_ = opened.close()
		return nil, errors.Wrapf(err, "listening on %s", settings.Address)
	}
	m := newMember(settings, listener)
	m.journal = opened
	if err := m.restore(saved); err != nil {
		_ = opened.close()
		_ = listener.Close()
		return nil, err
	}
	m.goroutines.Add(3)
	go func() {
		defer m.goroutines.Done()
		m.acceptLoop()
	}()
	go func() {
		defer m.goroutines.Done()
		m.receiveAndApply()
	}()
	go func() {
		defer m.goroutines.Done()
		m.replicate()
	}()
	return m, nil
}

func newMember(settings Settings, listener net.Listener) *Member {
	return &Member{
		settings:      settings,
		listener:      listener,
		logger:        settings.Logger,
		slots:         newSlots(settings.Slots),
		closing:       make(chan struct{}),
		delays:        delays{settings.ReceiveLag, settings.ApplyLag, settings.StatementTime},
		tables:        tables{},
		acknowledged:  map[types.TargetID]types.Position{},
		locks:         map[rowKey]*rowLock{},
		advisoryLocks: map[int64]*advisoryLock{},
		usage:         usageByCustomer{},
		conns:         map[net.Conn]struct{}{},
		sessions:      map[processID]*session{},
		ownerCalls:    ownerCalls{byEpoch: map[types.Epoch]time.Time{}},
	}
}

// restore sets the state that was read from the state file; the member is then a replica that follows no primary. Without such
// a state, it takes role, term and primary from the settings and writes the term to the state file.
func (m *Member) restore(saved savedState) error {
	if saved.exists {
		m.role = Replica
		m.durable = saved.durable
		m.log = saved.log
		m.applied = saved.log.lastPosition()
		m.tables = rebuildTables(saved.log.entries)
		m.ownerCalls.recordRestart(time.Now())
		return nil
	}
	m.role = m.settings.Role
	if m.role == Replica {
		m.upstream.address = m.settings.Primary
	}
	return m.persist(durableState{Term: m.settings.Term})
}

// Address returns the address at which others reach the member.
func (m *Member) Address() string {
	if m.settings.Advertised != "" {
		return m.settings.Advertised
	}
	return m.listener.Addr().String()
}

// SetReceiveLag changes the delay between the primary's append of an entry and its receipt by this member.
func (m *Member) SetReceiveLag(lag time.Duration) {
	m.setDelays(func(d *delays) { d.receive = lag })
}

// SetApplyLag changes the delay between the receipt of an entry and its visibility.
func (m *Member) SetApplyLag(lag time.Duration) {
	m.setDelays(func(d *delays) { d.apply = lag })
}

// SetStatementTime changes the time for which a statement holds its slot.
func (m *Member) SetStatementTime(duration time.Duration) {
	m.setDelays(func(d *delays) { d.statement = duration })
}

func (m *Member) setDelays(set func(*delays)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	set(&m.delays)
	m.changed.broadcast()
}

// Peaks returns the peak use by each customer, sorted by customer.
func (m *Member) Peaks() []Peak {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usage.sortedPeaks()
}

// Rows returns a copy of the visible rows of a table, by key.
func (m *Member) Rows(table string) map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := make(map[string]string, len(m.tables[table]))
	for key, value := range m.tables[table] {
		rows[key] = value
	}
	return rows
}

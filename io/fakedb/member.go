package fakedb

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

// Member is a running member of a database.
type Member struct {
	settings   Settings
	listener   net.Listener
	logger     hclog.Logger
	slots      slots
	goroutines sync.WaitGroup
	closing    chan struct{}

	mu      sync.Mutex
	changed signal
	journal *journal
	durable durableState
	role    Role
	leaving bool
	closed  bool
	delays  delays

	log          replicatedLog
	tables       tables
	applied      types.Position
	committed    types.Position
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

// delays are the delays that can be changed while the member runs.
type delays struct {
	receive   time.Duration
	apply     time.Duration
	statement time.Duration
}

// Start listens on the address of the settings and serves until Close or Leave.
func Start(settings Settings) (*Member, error) {
	settings = settings.withDefaults()
	kept, found, err := openJournal(settings.StatePath)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", settings.Address)
	if err != nil {
		_ = kept.close()
		return nil, errors.Wrapf(err, "listening on %s", settings.Address)
	}
	m := newMember(settings, listener)
	m.journal = kept
	if err := m.restore(found); err != nil {
		_ = kept.close()
		_ = listener.Close()
		return nil, err
	}
	m.goroutines.Add(3)
	go func() {
		defer m.goroutines.Done()
		m.accept()
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

// restore takes over what the state file held; without any, the settings decide and are written down.
func (m *Member) restore(found savedState) error {
	if found.exists {
		m.role = Replica
		m.durable = found.durable
		m.log = found.log
		m.applied = found.log.last()
		m.tables = rebuildTables(found.log.entries)
		m.ownerCalls.recordRestart(time.Now())
		return nil
	}
	m.role = m.settings.Role
	if m.role == Replica {
		m.upstream.address = m.settings.Primary
	}
	return m.persist(durableState{Term: m.settings.Term})
}

// Address returns the address that others use.
func (m *Member) Address() string {
	if m.settings.Advertised != "" {
		return m.settings.Advertised
	}
	return m.listener.Addr().String()
}

// SetReceiveLag changes the delay between the primary's append of an entry and its receipt here.
func (m *Member) SetReceiveLag(lag time.Duration) {
	m.setDelays(func(l *delays) { l.receive = lag })
}

// SetApplyLag changes the delay between the receipt of an entry and its visibility.
func (m *Member) SetApplyLag(lag time.Duration) {
	m.setDelays(func(l *delays) { l.apply = lag })
}

// SetStatementTime changes how long a statement holds its slot.
func (m *Member) SetStatementTime(span time.Duration) {
	m.setDelays(func(l *delays) { l.statement = span })
}

func (m *Member) setDelays(set func(*delays)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	set(&m.delays)
	m.changed.broadcast()
}

// Peaks returns the highest use by each customer.
func (m *Member) Peaks() []Peak {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usage.sortedPeaks()
}

// Rows returns a copy of the visible rows of a table.
func (m *Member) Rows(table string) map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := make(map[string]string, len(m.tables[table]))
	for key, value := range m.tables[table] {
		rows[key] = value
	}
	return rows
}

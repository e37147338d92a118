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
	settings Settings
	listener net.Listener
	logger   hclog.Logger
	slots    slots
	work     sync.WaitGroup
	closing  chan struct{}

	mu       sync.Mutex
	changed  signal
	journal  *journal
	promises promises
	role     Role
	leaving  bool
	closed   bool
	lags     lags

	log       logbook
	tables    tables
	applied   types.Position
	committed types.Position
	received  map[types.TargetID]types.Position
	upstream  upstream

	locks         map[rowKey]*rowLock
	advisoryLocks map[int64]*advisoryLock
	peaks         peaks
	conns         map[net.Conn]struct{}
	sessions      map[processID]*session
	lastProcess   processID
	ownerCalls    ownerCalls
}

// lags are the delays that can be changed while the member runs.
type lags struct {
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
	m.work.Add(3)
	go func() {
		defer m.work.Done()
		m.accept()
	}()
	go func() {
		defer m.work.Done()
		m.pump()
	}()
	go func() {
		defer m.work.Done()
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
		lags:          lags{settings.ReceiveLag, settings.ApplyLag, settings.StatementTime},
		tables:        tables{},
		received:      map[types.TargetID]types.Position{},
		locks:         map[rowKey]*rowLock{},
		advisoryLocks: map[int64]*advisoryLock{},
		peaks:         peaks{},
		conns:         map[net.Conn]struct{}{},
		sessions:      map[processID]*session{},
		ownerCalls:    ownerCalls{byEpoch: map[types.Epoch]time.Time{}},
	}
}

// restore takes over what the state file held; without any, the settings decide and are written down.
func (m *Member) restore(found memory) error {
	if found.known {
		m.role = Replica
		m.promises = found.promises
		m.log = found.log
		m.applied = found.log.last()
		m.tables = rebuild(found.log.entries)
		m.ownerCalls.restarted(time.Now())
		return nil
	}
	m.role = m.settings.Role
	if m.role == Replica {
		m.upstream.address = m.settings.Primary
	}
	return m.remember(promises{Term: m.settings.Term})
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
	m.setLags(func(l *lags) { l.receive = lag })
}

// SetApplyLag changes the delay between the receipt of an entry and its visibility.
func (m *Member) SetApplyLag(lag time.Duration) {
	m.setLags(func(l *lags) { l.apply = lag })
}

// SetStatementTime changes how long a statement holds its slot.
func (m *Member) SetStatementTime(span time.Duration) {
	m.setLags(func(l *lags) { l.statement = span })
}

func (m *Member) setLags(set func(*lags)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	set(&m.lags)
	m.changed.broadcast()
}

// Peaks returns the highest use by each customer.
func (m *Member) Peaks() []Peak {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peaks.sorted()
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

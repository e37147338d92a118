package server

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"turmericpulley/core/class"
	"turmericpulley/core/fault"
	"turmericpulley/core/fleet"
	"turmericpulley/core/policy"
	"turmericpulley/core/trace"
	"turmericpulley/core/types"
	"turmericpulley/io/owner"
	"turmericpulley/io/wire"
)

const (
	// releaseTimeout bounds how long a database's transactions may delay its handover.
	releaseTimeout = 5 * time.Second
	// reconcilePeriod bounds how late an unnoticed change is noticed.
	reconcilePeriod = time.Second
)

// owners holds the databases that this instance owns; it is safe for concurrent use.
type owners struct {
	ownersSettings
	entitler *entitler
	writes   *class.WriteSet
	leaving  *leaving

	// running ends when the instance closes.
	running context.Context
	stop    context.CancelFunc
	duties  sync.WaitGroup

	mu   sync.Mutex
	held map[types.DatabaseID]*holding
	// released holds the databases that were released and not yet handed to anyone.
	released map[types.DatabaseID]owner.Handover
	stopping bool
}

// ownersSettings is what owners need from the instance.
type ownersSettings struct {
	self     types.InstanceID
	region   types.Region
	network  network
	counters *owner.Counters
	recorder *trace.Recorder
	resolve  func(string) string
	list     func(context.Context) ([]fleet.ListEntry, error)
	promoted func(time.Duration)
	queued   func(types.CustomerID, time.Duration)
	logger   hclog.Logger
	changes  <-chan struct{}
}

func newOwners(s ownersSettings) *owners {
	running, stop := context.WithCancel(context.Background())
	m := &owners{
		ownersSettings: s,
		entitler:       newEntitler(s.network),
		writes:         class.NewWriteSet(),
		leaving:        newLeaving(s.list, s.network),
		running:        running,
		stop:           stop,
		held:           map[types.DatabaseID]*holding{},
		released:       map[types.DatabaseID]owner.Handover{},
	}
	m.duties.Go(func() { m.reconcileOnChange(running, s.changes) })
	m.duties.Go(func() { m.leaving.poll(running) })
	return m
}

// serve runs a transaction, or refuses it when another instance should.
func (m *owners) serve(ctx context.Context, begin *wire.Begin, s owner.Stream) {
	if begin.GetRelease() != nil {
		m.answerRelease(ctx, begin, s)
		return
	}
	contract, o, redirect, err := m.admit(ctx, begin)
	if err != nil {
		refuse(s, begin, fault.From(err), redirect)
		return
	}
	o.Serve(ctx, begin, contract, func() error { return m.permitted(begin) }, s)
}

// permitted returns why the documents in force do not let the transaction run, or nil.
func (m *owners) permitted(begin *wire.Begin) error {
	_, err := m.documents(begin)
	return err
}

// ownedHere reports whether instances of this region own the group's databases.
func (m *owners) ownedHere(group policy.Group) bool {
	return group.Region == "" || group.Region == m.region
}

// documents returns what governs a transaction; the error says why it must not run.
func (m *owners) documents(begin *wire.Begin) (policy.RequestPolicy, error) {
	if err := m.network.Fresh(); err != nil {
		return policy.RequestPolicy{}, err
	}
	g, f := policy.Resolve(
		m.network.Book(), types.CustomerID(begin.GetCustomer()), types.DatabaseID(begin.GetDatabase()),
	)
	if f != nil {
		return policy.RequestPolicy{}, f
	}
	if !m.ownedHere(g.Group) {
		detail := "group " + string(g.Group.Group) + " is served in region " + string(g.Group.Region)
		return policy.RequestPolicy{}, fault.New(fault.UnknownDatabase, detail)
	}
	return g, nil
}

// admit checks a transaction against the documents and returns the owner that runs it.
func (m *owners) admit(ctx context.Context, begin *wire.Begin) (policy.Contract, *owner.Owner, types.InstanceID, error) {
	g, err := m.documents(begin)
	if err != nil {
		return policy.Contract{}, nil, "", err
	}
	o, redirect := m.find(ctx, g.Group, g.Database)
	if o == nil {
		return policy.Contract{}, nil, redirect, fault.New(fault.NoOwner, "instance "+string(m.self)+" does not own the database")
	}
	return g.Contract.WithDefaults(), o, "", nil
}

// find returns the owner of the database, taking it over when this instance should own it.
func (m *owners) find(ctx context.Context, group policy.Group, database policy.Database) (*owner.Owner, types.InstanceID) {
	if h := m.holding(database.Database); h != nil {
		return h.await(ctx), ""
	}
	x := m.entitler.decide(database)
	if x.expected != m.self {
		x = m.entitler.decideByProbe(ctx, database)
	}
	if x.expected != m.self {
		return nil, x.expected
	}
	if h := m.take(group, database, x); h != nil {
		return h.await(ctx), ""
	}
	return nil, ""
}

// holding returns what is held of the database; a holding that was lost is forgotten.
func (m *owners) holding(database types.DatabaseID) *holding {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.held[database]
	if !ok {
		return nil
	}
	o := h.started()
	if o == nil {
		return h
	}
	isLost, epoch := o.Lost()
	if !isLost {
		return h
	}
	if m.stopping {
		return nil
	}
	delete(m.held, database)
	if epoch > o.Epoch() {
		m.entitler.lostTo(database, epoch)
	}
	m.duties.Go(o.Close)
	return nil
}

// take starts to own a database.
func (m *owners) take(group policy.Group, database policy.Database, x entitlement) *holding {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return nil
	}
	if h, ok := m.held[database.Database]; ok {
		return h
	}
	h := &holding{ready: make(chan struct{})}
	m.held[database.Database] = h
	m.duties.Go(func() {
		handedOver := m.askRelease(database)
		h.owner = owner.New(owner.Settings{
			Group:      group,
			Database:   database,
			Epoch:      m.entitler.epochFor(database.Database, x),
			HandedOver: handedOver,
			Leaving:    m.leaving.contains,
			Resolve:    m.resolve,
			Writes:     m.writes,
			Counters:   m.counters,
			Promoted:   m.promoted,
			Queued:     m.queued,
			Recorder:   m.recorder,
			Logger:     m.logger,
		})
		m.logger.Info("database taken", "database", database.Database, "epoch", h.owner.Epoch(),
			"handedOver", handedOver.Epoch != 0)
		close(h.ready)
	})
	return h
}

// close gives up all databases at once.
func (m *owners) close() {
	m.mu.Lock()
	m.stopping = true
	held := m.held
	m.held = map[types.DatabaseID]*holding{}
	m.mu.Unlock()
	m.stop()
	for _, h := range held {
		<-h.ready
		h.owner.Close()
	}
	m.duties.Wait()
}

// refuse answers a transaction with an error.
func refuse(s owner.Stream, begin *wire.Begin, f *fault.Fault, redirect types.InstanceID) {
	if f == nil {
		f = fault.New(fault.NoOwner, "the database has no owner")
	}
	_ = s.Send(&wire.Frame{
		RequestId: begin.GetRequestId(),
		Outcome: &wire.Outcome{Refusal: &wire.Refusal{
			Kind: string(f.Kind), Detail: f.Detail, Redirect: string(redirect), Unknown: f.Outcome == fault.Unknown,
		}},
	})
}

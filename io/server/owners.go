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
	// reconcileInterval bounds how late an unnoticed change is noticed.
	reconcileInterval = time.Second
)

// ownershipManager holds the databases that this instance owns; it is safe for concurrent use.
type ownershipManager struct {
	managerSettings
	selector       *ownerSelector
	writes         *class.WriteSet
	leavingTargets *leavingTargets

	// baseContext ends when the instance closes.
	baseContext context.Context
	stop        context.CancelFunc
	goroutines  sync.WaitGroup

	mu         sync.Mutex
	byDatabase map[types.DatabaseID]*ownership
	// handovers holds the databases that were released and not yet handed to anyone.
	handovers map[types.DatabaseID]owner.Handover
	stopping  bool
}

// managerSettings is what owners need from the instance.
type managerSettings struct {
	self            types.InstanceID
	region          types.Region
	network         network
	counters        *owner.Counters
	recorder        *trace.Recorder
	resolve         func(string) string
	listEntries     func(context.Context) ([]fleet.ListEntry, error)
	recordPromotion func(time.Duration)
	recordQueueWait func(types.CustomerID, time.Duration)
	logger          hclog.Logger
	changes         <-chan struct{}
}

func newOwnershipManager(s managerSettings) *ownershipManager {
	running, stop := context.WithCancel(context.Background())
	m := &ownershipManager{
		managerSettings: s,
		selector:        newOwnerSelector(s.network),
		writes:          class.NewWriteSet(),
		leavingTargets:  newLeavingTargets(s.listEntries, s.network),
		baseContext:     running,
		stop:            stop,
		byDatabase:      map[types.DatabaseID]*ownership{},
		handovers:       map[types.DatabaseID]owner.Handover{},
	}
	m.goroutines.Go(func() { m.runReconcile(running, s.changes) })
	m.goroutines.Go(func() { m.leavingTargets.poll(running) })
	return m
}

// serve runs a transaction, or refuses it when another instance should.
func (m *ownershipManager) serve(ctx context.Context, begin *wire.Begin, s owner.Stream) {
	if begin.GetRelease() != nil {
		m.serveRelease(ctx, begin, s)
		return
	}
	contract, o, redirect, err := m.admit(ctx, begin)
	if err != nil {
		refuse(s, begin, fault.From(err), redirect)
		return
	}
	o.Serve(ctx, begin, contract, func() error { return m.checkPermitted(begin) }, s)
}

// checkPermitted returns why the documents in force do not let the transaction run, or nil.
func (m *ownershipManager) checkPermitted(begin *wire.Begin) error {
	_, err := m.requestPolicy(begin)
	return err
}

// inOwnRegion reports whether instances of this region own the group's databases.
func (m *ownershipManager) inOwnRegion(group policy.Group) bool {
	return group.Region == "" || group.Region == m.region
}

// requestPolicy returns what governs a transaction; the error says why it must not run.
func (m *ownershipManager) requestPolicy(begin *wire.Begin) (policy.RequestPolicy, error) {
	if err := m.network.CheckFreshness(); err != nil {
		return policy.RequestPolicy{}, err
	}
	g, f := policy.Resolve(
		m.network.Documents(), types.CustomerID(begin.GetCustomer()), types.DatabaseID(begin.GetDatabase()),
	)
	if f != nil {
		return policy.RequestPolicy{}, f
	}
	if !m.inOwnRegion(g.Group) {
		detail := "group " + string(g.Group.Group) + " is served in region " + string(g.Group.Region)
		return policy.RequestPolicy{}, fault.New(fault.UnknownDatabase, detail)
	}
	return g, nil
}

// admit checks a transaction against the documents and returns the owner that runs it.
func (m *ownershipManager) admit(ctx context.Context, begin *wire.Begin) (policy.Contract, *owner.Owner, types.InstanceID, error) {
	g, err := m.requestPolicy(begin)
	if err != nil {
		return policy.Contract{}, nil, "", err
	}
	o, redirect := m.findOwner(ctx, g.Group, g.Database)
	if o == nil {
		return policy.Contract{}, nil, redirect, fault.New(fault.NoOwner, "instance "+string(m.self)+" does not own the database")
	}
	return g.Contract.WithDefaults(), o, "", nil
}

// findOwner returns the owner of the database, taking it over when this instance should own it.
func (m *ownershipManager) findOwner(ctx context.Context, group policy.Group, database policy.Database) (*owner.Owner, types.InstanceID) {
	if h := m.ownership(database.Database); h != nil {
		return h.awaitOwner(ctx), ""
	}
	x := m.selector.selectOwner(database)
	if x.instance != m.self {
		x = m.selector.selectByProbe(ctx, database)
	}
	if x.instance != m.self {
		return nil, x.instance
	}
	if h := m.takeOver(group, database, x); h != nil {
		return h.awaitOwner(ctx), ""
	}
	return nil, ""
}

// ownership returns what is held of the database; a holding that was lost is forgotten.
func (m *ownershipManager) ownership(database types.DatabaseID) *ownership {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.byDatabase[database]
	if !ok {
		return nil
	}
	o := h.ownerIfReady()
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
	delete(m.byDatabase, database)
	if epoch > o.Epoch() {
		m.selector.recordLoss(database, epoch)
	}
	m.goroutines.Go(o.Close)
	return nil
}

// takeOver starts to own a database.
func (m *ownershipManager) takeOver(group policy.Group, database policy.Database, x expectedOwner) *ownership {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return nil
	}
	if h, ok := m.byDatabase[database.Database]; ok {
		return h
	}
	h := &ownership{ready: make(chan struct{})}
	m.byDatabase[database.Database] = h
	m.goroutines.Go(func() {
		handedOver := m.requestReleases(database)
		h.owner = owner.New(owner.Settings{
			Group:           group,
			Database:        database,
			Epoch:           m.selector.epochFor(database.Database, x),
			HandedOver:      handedOver,
			IsLeaving:       m.leavingTargets.contains,
			Resolve:         m.resolve,
			Writes:          m.writes,
			Counters:        m.counters,
			RecordPromotion: m.recordPromotion,
			RecordQueueWait: m.recordQueueWait,
			Recorder:        m.recorder,
			Logger:          m.logger,
		})
		m.logger.Info("database taken", "database", database.Database, "epoch", h.owner.Epoch(),
			"handedOver", handedOver.Epoch != 0)
		close(h.ready)
	})
	return h
}

// close gives up all databases at once.
func (m *ownershipManager) close() {
	m.mu.Lock()
	m.stopping = true
	held := m.byDatabase
	m.byDatabase = map[types.DatabaseID]*ownership{}
	m.mu.Unlock()
	m.stop()
	for _, h := range held {
		<-h.ready
		h.owner.Close()
	}
	m.goroutines.Wait()
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

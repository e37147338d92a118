package server

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"turmericpulley/core/budget"
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
	// releaseTimeout bounds how long the transactions in flight may delay a handover.
	releaseTimeout = 5 * time.Second
	// reconcileInterval bounds how late the manager reacts to changes that send no notification.
	reconcileInterval = time.Second
)

// ownershipManager takes over, serves and releases the databases that this instance owns; it is safe for concurrent use.
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
	// handovers holds the handovers of released databases until another instance asks for them.
	handovers map[types.DatabaseID]owner.Handover
	stopping  bool
}

// managerSettings are the parts of the instance that the ownership manager uses.
type managerSettings struct {
	self            types.InstanceID
	region          types.Region
	network         network
	counters        *owner.Counters
	recorder        *trace.Recorder
	resolve         func(string) string
	listEntries     func(context.Context) ([]fleet.ListEntry, error)
	recordPromotion func(time.Duration)
	recordQueueWait func(types.AccountID, time.Duration)
	budget          *budget.Pool
	logger          hclog.Logger
	changes         <-chan struct{}
}

func newOwnershipManager(s managerSettings) *ownershipManager {
	baseContext, stop := context.WithCancel(context.Background())
	m := &ownershipManager{
		managerSettings: s,
		selector:        newOwnerSelector(s.network),
		writes:          class.NewWriteSet(),
		leavingTargets:  newLeavingTargets(s.listEntries, s.network),
		baseContext:     baseContext,
		stop:            stop,
		byDatabase:      map[types.DatabaseID]*ownership{},
		handovers:       map[types.DatabaseID]owner.Handover{},
	}
	m.goroutines.Go(func() { m.runReconcile(baseContext, s.changes) })
	m.goroutines.Go(func() { m.leavingTargets.poll(baseContext) })
	return m
}

// serve runs a transaction, or refuses it when it may not run or another instance should own the database. It also handles
// requests to release a database.
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

// checkPermitted returns why the current documents do not permit the transaction, or nil.
func (m *ownershipManager) checkPermitted(begin *wire.Begin) error {
	_, err := m.requestPolicy(begin)
	return err
}

// inOwnRegion reports whether instances of this region may own the group's databases.
func (m *ownershipManager) inOwnRegion(group policy.Group) bool {
	return group.Region == "" || group.Region == m.region
}

// requestPolicy returns the contract, group and database of a transaction; the error says why it must not run.
func (m *ownershipManager) requestPolicy(begin *wire.Begin) (policy.RequestPolicy, error) {
	if err := m.network.CheckFreshness(); err != nil {
		return policy.RequestPolicy{}, err
	}
	resolved, f := policy.Resolve(
		m.network.Documents(), types.AccountID(begin.GetCustomer()), types.DatabaseID(begin.GetDatabase()),
	)
	if f != nil {
		return policy.RequestPolicy{}, f
	}
	if !m.inOwnRegion(resolved.Group) {
		detail := "group " + string(resolved.Group.Group) + " is served in region " + string(resolved.Group.Region)
		return policy.RequestPolicy{}, fault.New(fault.UnknownDatabase, detail)
	}
	return resolved, nil
}

// admit checks a transaction against the documents. It returns the contract and the owner that runs the transaction, or an error
// and the instance that should own the database, if known.
func (m *ownershipManager) admit(ctx context.Context, begin *wire.Begin) (policy.Contract, *owner.Owner, types.InstanceID, error) {
	permitted, err := m.requestPolicy(begin)
	if err != nil {
		return policy.Contract{}, nil, "", err
	}
	o, redirect := m.findOwner(ctx, permitted.Group, permitted.Database)
	if o == nil {
		return policy.Contract{}, nil, redirect, fault.New(fault.NoOwner, "instance "+string(m.self)+" does not own the database")
	}
	return permitted.Contract.WithDefaults(), o, "", nil
}

// findOwner returns the owner of the database; it takes the database over when this instance should own it. Otherwise it
// returns the instance that should own it, if known.
func (m *ownershipManager) findOwner(ctx context.Context, group policy.Group, database policy.Database) (*owner.Owner, types.InstanceID) {
	if owned := m.ownership(database.Database); owned != nil {
		return owned.awaitOwner(ctx), ""
	}
	expected := m.selector.selectOwner(database)
	if expected.instance != m.self {
		expected = m.selector.selectByProbe(ctx, database)
	}
	if expected.instance != m.self {
		return nil, expected.instance
	}
	if owned := m.takeOver(group, database, expected); owned != nil {
		return owned.awaitOwner(ctx), ""
	}
	return nil, ""
}

// ownership returns the ownership of the database, nil when there is none; it removes one that was lost.
func (m *ownershipManager) ownership(database types.DatabaseID) *ownership {
	m.mu.Lock()
	defer m.mu.Unlock()
	owned, ok := m.byDatabase[database]
	if !ok {
		return nil
	}
	o := owned.ownerIfReady()
	if o == nil {
		return owned
	}
	isLost, epoch := o.Lost()
	if !isLost {
		return owned
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

// takeOver starts an owner of the database in the background, unless the instance is stopping.
func (m *ownershipManager) takeOver(group policy.Group, database policy.Database, expected expectedOwner) *ownership {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return nil
	}
	if owned, ok := m.byDatabase[database.Database]; ok {
		return owned
	}
	owned := &ownership{ready: make(chan struct{})}
	m.byDatabase[database.Database] = owned
	m.goroutines.Go(func() {
		handedOver := m.requestReleases(database)
		owned.owner = owner.New(owner.Settings{
			Group:           group,
			Database:        database,
			Epoch:           m.selector.epochFor(database.Database, expected),
			HandedOver:      handedOver,
			IsLeaving:       m.leavingTargets.contains,
			Resolve:         m.resolve,
			Writes:          m.writes,
			Counters:        m.counters,
			RecordPromotion: m.recordPromotion,
			RecordQueueWait: m.recordQueueWait,
			Recorder:        m.recorder,
			Budget:          m.budget,
			Logger:          m.logger,
		})
		m.logger.Info("database taken over", "database", database.Database, "epoch", owned.owner.Epoch(),
			"handedOver", handedOver.Epoch != 0)
		close(owned.ready)
	})
	return owned
}

// close closes all owners at once.
func (m *ownershipManager) close() {
	m.mu.Lock()
	m.stopping = true
	ownerships := m.byDatabase
	m.byDatabase = map[types.DatabaseID]*ownership{}
	m.mu.Unlock()
	m.stop()
	for _, owned := range ownerships {
		<-owned.ready
		owned.owner.Close()
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

package server

import (
	"context"
	"sync"
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/trace"
	"turmericpulley/core/types"
	"turmericpulley/io/peers"
	"turmericpulley/io/pgsrv"
	"turmericpulley/io/wire"
)

const (
	// routeTimeout bounds how long the router looks for the owner of a transaction's database.
	routeTimeout = 4 * time.Second
	// minRouteDelay is the pause before the first retry; each further one is twice as long, up to maxRouteDelay.
	minRouteDelay = 10 * time.Millisecond
	maxRouteDelay = 100 * time.Millisecond
)

// router opens streams to the owners of databases; it is safe for concurrent use.
type router struct {
	self      types.InstanceID
	network   network
	openLocal func(ctx context.Context, begin *wire.Begin) (peers.Stream, error)
	recorder  *trace.Recorder

	mu    sync.Mutex
	hints map[types.DatabaseID]hint
}

// hint is the instance that last answered for a database, and the membership revision at that time.
type hint struct {
	owner    types.InstanceID
	revision types.Revision
}

func newRouter(
	self types.InstanceID, n network, openLocal func(context.Context, *wire.Begin) (peers.Stream, error), recorder *trace.Recorder,
) *router {
	return &router{self: self, network: n, openLocal: openLocal, recorder: recorder, hints: map[types.DatabaseID]hint{}}
}

// Open starts a transaction at the owner of its database; when it fails, nothing has run.
func (r *router) Open(ctx context.Context, begin *wire.Begin) (pgsrv.Stream, error) {
	r.recorder.Begin(types.RequestID(begin.GetRequestId()), types.AccountID(begin.GetCustomer()),
		types.DatabaseID(begin.GetDatabase()), types.SessionName(begin.GetSession()))
	s := &routedStream{router: r, ctx: ctx, begin: begin, routeDeadline: time.Now().Add(routeTimeout), retryDelay: minRouteDelay}
	if err := s.connect(""); err != nil {
		return nil, err
	}
	s.ctx = context.WithoutCancel(ctx)
	return s, nil
}

// openAt opens a stream to one instance.
func (r *router) openAt(ctx context.Context, id types.InstanceID, begin *wire.Begin) (peers.Stream, error) {
	if id == r.self {
		return r.openLocal(ctx, begin)
	}
	return r.network.Open(ctx, id, begin)
}

// candidates returns the instances that may own the database: first those that are not suspected, then the suspected ones, both
// in order of rank.
func (r *router) candidates(database types.DatabaseID) []types.InstanceID {
	_, d, ok := r.network.Documents().Database(database)
	if !ok {
		return nil
	}
	members := r.network.Membership()
	var trusted, suspected []types.InstanceID
	for _, i := range members.OwnerCandidates(d) {
		if r.network.Suspected(i.ID) {
			suspected = append(suspected, i.ID)
		} else {
			trusted = append(trusted, i.ID)
		}
	}
	return append(trusted, suspected...)
}

// hintedOwner returns the instance that last answered for the database; false when the membership has changed since.
func (r *router) hintedOwner(database types.DatabaseID) (types.InstanceID, bool) {
	r.mu.Lock()
	h, ok := r.hints[database]
	r.mu.Unlock()
	return h.owner, ok && h.revision == r.network.Membership().Revision
}

func (r *router) setHint(database types.DatabaseID, id types.InstanceID) {
	revision := r.network.Membership().Revision
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hints[database] = hint{owner: id, revision: revision}
}

// clearHint removes the hint if it names the instance.
func (r *router) clearHint(database types.DatabaseID, id types.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hints[database].owner == id {
		delete(r.hints, database)
	}
}

func errNoOwnerInTime() error {
	return fault.New(fault.NoOwner, "no instance that owns the database could be reached in time")
}

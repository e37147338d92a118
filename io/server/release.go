package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/policy"
	"turmericpulley/core/types"
	"turmericpulley/io/owner"
	"turmericpulley/io/wire"
)

// maxPreviousOwners is the number of next-ranked instances that may have owned a database before.
const maxPreviousOwners = 2

// requestReleases asks the instances that may own the database to hand it over; it returns the handover
// of the latest owner that answered, zero when none did.
func (m *ownershipManager) requestReleases(database policy.Database) owner.Handover {
	members := m.network.Membership()
	var candidates []fleet.Instance
	for _, i := range members.OwnerCandidates(database) {
		if i.ID != m.self && len(candidates) < maxPreviousOwners {
			candidates = append(candidates, i)
		}
	}
	for _, i := range members.Instances {
		if i.State == fleet.Leaving && i.ID != m.self {
			candidates = append(candidates, i)
		}
	}
	candidates = slices.DeleteFunc(candidates, func(i fleet.Instance) bool { return m.network.Suspected(i.ID) })
	ctx, cancel := context.WithTimeout(m.baseContext, releaseTimeout+time.Second)
	defer cancel()
	released := make(chan owner.Handover, len(candidates))
	for _, i := range candidates {
		go func() { released <- m.requestRelease(ctx, i.ID, database.Database) }()
	}
	var latest owner.Handover
	for range candidates {
		if h := <-released; h.Epoch > latest.Epoch {
			latest = h
		}
	}
	return latest
}

// requestRelease asks one instance; the handover is zero when there was nothing to hand over.
func (m *ownershipManager) requestRelease(ctx context.Context, id types.InstanceID, database types.DatabaseID) owner.Handover {
	sentAt := time.Now()
	s, err := m.network.Open(ctx, id, &wire.Begin{
		RequestId: 1,
		Database:  string(database),
		Release: &wire.Release{
			Instance: string(m.self), MembershipRevision: uint64(m.network.Membership().Revision),
		},
	})
	if err != nil {
		return owner.Handover{}
	}
	defer func() { _ = s.Close() }()
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	f, err := s.Receive()
	h := f.GetOutcome().GetHandover()
	if err != nil || h.GetEpoch() == 0 {
		return owner.Handover{}
	}
	return owner.Handover{
		Epoch:       types.Epoch(h.GetEpoch()),
		LeaseExpiry: sentAt.Add(time.Duration(h.GetLeaseMs()) * time.Millisecond),
	}
}

// serveRelease hands a database over. Only the first one who asks gets the rest of the lease.
func (m *ownershipManager) serveRelease(ctx context.Context, begin *wire.Begin, s owner.Stream) {
	database := types.DatabaseID(begin.GetDatabase())
	var h owner.Handover
	if m.mayRelease(database, begin.GetRelease()) {
		m.release(ctx, database)
		m.mu.Lock()
		h = m.handovers[database]
		delete(m.handovers, database)
		m.mu.Unlock()
	}
	_ = s.Send(&wire.Frame{RequestId: begin.GetRequestId(), Outcome: &wire.Outcome{Handover: &wire.Handover{
		Epoch:   uint64(h.Epoch),
		LeaseMs: uint32(max(time.Until(h.LeaseExpiry).Milliseconds(), 0)),
	}}})
}

// mayRelease reports whether the instance that asks should own the database: by a newer membership than the one known
// here, or by the same one as this instance understands it.
func (m *ownershipManager) mayRelease(id types.DatabaseID, r *wire.Release) bool {
	members := m.network.Membership()
	if asked := types.Revision(r.GetMembershipRevision()); asked != members.Revision {
		return asked > members.Revision
	}
	_, database, ok := m.network.Documents().Database(id)
	return !ok || m.selector.selectOwner(database).instance == types.InstanceID(r.GetInstance())
}

// release gives up a database after its transactions in flight.
func (m *ownershipManager) release(ctx context.Context, database types.DatabaseID) {
	m.mu.Lock()
	h, ok := m.byDatabase[database]
	m.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	o := h.awaitOwner(ctx)
	if o == nil {
		return
	}
	handover := o.Release(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byDatabase[database] != h {
		return
	}
	delete(m.byDatabase, database)
	m.handovers[database] = handover
}

// ownedDatabases returns the databases that this instance owns or is about to own.
func (m *ownershipManager) ownedDatabases() []types.DatabaseID {
	m.mu.Lock()
	defer m.mu.Unlock()
	databases := make([]types.DatabaseID, 0, len(m.byDatabase))
	for id := range m.byDatabase {
		databases = append(databases, id)
	}
	return databases
}

// releaseAll hands over every database and takes no others.
func (m *ownershipManager) releaseAll(ctx context.Context) {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	var releases sync.WaitGroup
	for _, id := range m.ownedDatabases() {
		releases.Go(func() { m.release(ctx, id) })
	}
	releases.Wait()
}

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

// maxPreviousOwners is the number of other top-ranked instances that are asked to release a database, because they may have
// owned it before.
const maxPreviousOwners = 2

// requestReleases asks the instances that may own the database to release it: the other top-ranked and the leaving ones that
// are not suspected. It returns the handover with the highest epoch, zero when no instance handed over.
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

// requestRelease asks one instance to release the database; the handover is zero when it had nothing to hand over.
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
	handover := f.GetOutcome().GetHandover()
	if err != nil || handover.GetEpoch() == 0 {
		return owner.Handover{}
	}
	return owner.Handover{
		Epoch:       types.Epoch(handover.GetEpoch()),
		LeaseExpiry: sentAt.Add(time.Duration(handover.GetLeaseMs()) * time.Millisecond),
	}
}

// serveRelease releases a database and answers with the handover, which only the first instance that asks gets.
func (m *ownershipManager) serveRelease(ctx context.Context, begin *wire.Begin, s owner.Stream) {
	database := types.DatabaseID(begin.GetDatabase())
	var handover owner.Handover
	if m.mayRelease(database, begin.GetRelease()) {
		m.release(ctx, database)
		m.mu.Lock()
		handover = m.handovers[database]
		delete(m.handovers, database)
		m.mu.Unlock()
	}
	_ = s.Send(&wire.Frame{RequestId: begin.GetRequestId(), Outcome: &wire.Outcome{Handover: &wire.Handover{
		Epoch:   uint64(handover.Epoch),
		LeaseMs: uint32(max(time.Until(handover.LeaseExpiry).Milliseconds(), 0)),
	}}})
}

// mayRelease reports whether the instance that asks should own the database. An instance with a newer membership may
// take any; one with the same membership has to be the instance that this one also selects as the owner. Databases that are not
// configured here may be taken by any instance with the same membership.
func (m *ownershipManager) mayRelease(id types.DatabaseID, r *wire.Release) bool {
	members := m.network.Membership()
	if revision := types.Revision(r.GetMembershipRevision()); revision != members.Revision {
		return revision > members.Revision
	}
	_, database, ok := m.network.Documents().Database(id)
	return !ok || m.selector.selectOwner(database).instance == types.InstanceID(r.GetInstance())
}

// release releases a database after its transactions in flight have finished or releaseTimeout has passed.
func (m *ownershipManager) release(ctx context.Context, database types.DatabaseID) {
	m.mu.Lock()
	owned, ok := m.byDatabase[database]
	m.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	o := owned.awaitOwner(ctx)
	if o == nil {
		return
	}
	handover := o.Release(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byDatabase[database] != owned {
		return
	}
	delete(m.byDatabase, database)
	m.handovers[database] = handover
}

// ownedDatabases returns the databases that this instance owns or is taking over.
func (m *ownershipManager) ownedDatabases() []types.DatabaseID {
	m.mu.Lock()
	defer m.mu.Unlock()
	databases := make([]types.DatabaseID, 0, len(m.byDatabase))
	for id := range m.byDatabase {
		databases = append(databases, id)
	}
	return databases
}

// releaseAll releases every database; from then on the manager takes over none.
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

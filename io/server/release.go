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

// releaseCandidates is the number of next-ranked instances that may have owned a database before.
const releaseCandidates = 2

// askRelease asks the instances that may own the database to hand it over; when one of them did so while its lease held,
// no other owner can serve before the time returned.
func (m *owners) askRelease(database policy.Database) time.Time {
	members := m.network.Membership()
	var candidates []fleet.Instance
	for _, i := range members.Ranked(database) {
		if i.ID != m.self && len(candidates) < releaseCandidates {
			candidates = append(candidates, i)
		}
	}
	for _, i := range members.Instances {
		if i.State == fleet.Leaving && i.ID != m.self {
			candidates = append(candidates, i)
		}
	}
	candidates = slices.DeleteFunc(candidates, func(i fleet.Instance) bool { return m.network.Suspected(i.ID) })
	ctx, cancel := context.WithTimeout(m.running, releaseTimeout+time.Second)
	defer cancel()
	released := make(chan time.Time, len(candidates))
	for _, i := range candidates {
		go func() { released <- m.requestRelease(ctx, i.ID, database.Database) }()
	}
	var until time.Time
	for range candidates {
		if leased := <-released; leased.After(until) {
			until = leased
		}
	}
	return until
}

// requestRelease asks one instance and returns the end of its lease at the earliest; zero when it did not hand over.
func (m *owners) requestRelease(ctx context.Context, id types.InstanceID, database types.DatabaseID) time.Time {
	sentAt := time.Now()
	s, err := m.network.Open(ctx, id, &wire.Begin{RequestId: 1, Database: string(database), Release: true})
	if err != nil {
		return time.Time{}
	}
	defer func() { _ = s.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		_ = s.SetDeadline(deadline)
	}
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	f, err := s.Receive()
	if err != nil || f.GetOutcome().GetPosition() == 0 {
		return time.Time{}
	}
	return sentAt.Add(time.Duration(f.GetOutcome().GetPosition()) * time.Millisecond)
}

// answerRelease hands a database over; the answer carries, as its position, the milliseconds for which no other owner can
// serve. Only the first one who asks gets that answer.
func (m *owners) answerRelease(ctx context.Context, begin *wire.Begin, s owner.Stream) {
	database := types.DatabaseID(begin.GetDatabase())
	m.release(ctx, database)
	m.mu.Lock()
	until := m.released[database]
	delete(m.released, database)
	m.mu.Unlock()
	remaining := max(time.Until(until).Milliseconds(), 0)
	_ = s.Send(&wire.Frame{RequestId: begin.GetRequestId(), Outcome: &wire.Outcome{Position: uint64(remaining)}})
}

// release gives up a database after its transactions in flight.
func (m *owners) release(ctx context.Context, database types.DatabaseID) {
	m.mu.Lock()
	h, ok := m.held[database]
	m.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	o := h.await(ctx)
	if o == nil {
		return
	}
	until := o.Release(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held[database] != h {
		return
	}
	delete(m.held, database)
	m.released[database] = until
}

// heldDatabases returns the databases that this instance owns or is about to own.
func (m *owners) heldDatabases() []types.DatabaseID {
	m.mu.Lock()
	defer m.mu.Unlock()
	databases := make([]types.DatabaseID, 0, len(m.held))
	for id := range m.held {
		databases = append(databases, id)
	}
	return databases
}

// releaseAll hands over every database and takes no others.
func (m *owners) releaseAll(ctx context.Context) {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	var releases sync.WaitGroup
	for _, id := range m.heldDatabases() {
		releases.Go(func() { m.release(ctx, id) })
	}
	releases.Wait()
}

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

// askRelease asks the instances that may own the database to hand it over; it returns true when one of them did so while
// its lease held, which proves that no other owner was serving.
func (m *owners) askRelease(database policy.Database) bool {
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
	released := make(chan bool, len(candidates))
	for _, i := range candidates {
		go func() { released <- m.requestRelease(ctx, i.ID, database.Database) }()
	}
	handedOver := false
	for range candidates {
		handedOver = <-released || handedOver
	}
	return handedOver
}

func (m *owners) requestRelease(ctx context.Context, id types.InstanceID, database types.DatabaseID) bool {
	s, err := m.network.Open(ctx, id, &wire.Begin{RequestId: 1, Database: string(database), Release: true})
	if err != nil {
		return false
	}
	defer func() { _ = s.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		_ = s.SetDeadline(deadline)
	}
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	f, err := s.Receive()
	return err == nil && f.GetOutcome().GetPosition() > 0
}

// answerRelease hands a database over; the answer carries the epoch when it was owned with a lease to the end.
func (m *owners) answerRelease(ctx context.Context, begin *wire.Begin, s owner.Stream) {
	epoch := m.release(ctx, types.DatabaseID(begin.GetDatabase()))
	_ = s.Send(&wire.Frame{RequestId: begin.GetRequestId(), Outcome: &wire.Outcome{Position: uint64(epoch)}})
}

// release gives up a database after its transactions in flight; it returns the epoch when the lease held until then.
func (m *owners) release(ctx context.Context, database types.DatabaseID) types.Epoch {
	m.mu.Lock()
	h, ok := m.held[database]
	m.mu.Unlock()
	if !ok {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	o := h.await(ctx)
	if o == nil {
		return 0
	}
	leased := o.Release(ctx)
	m.mu.Lock()
	if m.held[database] == h {
		delete(m.held, database)
	}
	m.mu.Unlock()
	if !leased {
		return 0
	}
	return o.Epoch()
}

// releaseAll hands over every database and takes no others.
func (m *owners) releaseAll(ctx context.Context) {
	m.mu.Lock()
	m.stopping = true
	databases := make([]types.DatabaseID, 0, len(m.held))
	for id := range m.held {
		databases = append(databases, id)
	}
	m.mu.Unlock()
	var releases sync.WaitGroup
	for _, id := range databases {
		releases.Go(func() { m.release(ctx, id) })
	}
	releases.Wait()
}

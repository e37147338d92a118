package server

import (
	"context"
	"sync"
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/policy"
	"turmericpulley/core/quorum"
	"turmericpulley/core/types"
)

const (
	probeTimeout = 300 * time.Millisecond
	// probeMemory is how long the result of a probe is used again.
	probeMemory = 200 * time.Millisecond
)

// entitlement says who should own a database, as far as this instance can tell.
type entitlement struct {
	// expected is the instance that should own the database; empty when there is none.
	expected types.InstanceID
	// rank is the rank of the expected instance.
	rank     int
	revision types.Revision
}

// entitler decides who should own a database; it is safe for concurrent use.
type entitler struct {
	network network

	mu     sync.Mutex
	probes map[types.InstanceID]probe
	// superseded holds the epoch by which a database was lost.
	superseded map[types.DatabaseID]types.Epoch
}

type probe struct {
	at    time.Time
	alive bool
}

func newEntitler(n network) *entitler {
	return &entitler{network: n, probes: map[types.InstanceID]probe{}, superseded: map[types.DatabaseID]types.Epoch{}}
}

// lostTo records that a database was lost to an owner of the epoch.
func (e *entitler) lostTo(database types.DatabaseID, epoch types.Epoch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.superseded[database] = max(e.superseded[database], epoch)
}

// epochFor returns the epoch under which this instance may own the database.
func (e *entitler) epochFor(database types.DatabaseID, x entitlement) types.Epoch {
	e.mu.Lock()
	defer e.mu.Unlock()
	return quorum.EpochAbove(e.superseded[database], x.revision, x.rank)
}

// decide returns the instance that should own the database: the one that superseded this instance under the present
// membership, else the first by rank; those that are suspected are passed over. Nobody is expected while the database
// was lost under a newer membership than the one that this instance knows.
func (e *entitler) decide(database policy.Database) entitlement {
	members := e.network.Membership()
	return e.decideRanked(database.Database, members.Revision, rankedOwners(members, database))
}

// decideRanked is decide for instances that were ranked before.
func (e *entitler) decideRanked(id types.DatabaseID, revision types.Revision, ranked []fleet.Instance) entitlement {
	return e.first(id, revision, ranked, func(i fleet.Instance) bool { return !e.network.Suspected(i.ID) })
}

// decideByProbe is decide with a fresh probe of every instance that comes before this one.
func (e *entitler) decideByProbe(ctx context.Context, database policy.Database) entitlement {
	members := e.network.Membership()
	return e.first(database.Database, members.Revision, rankedOwners(members, database), func(i fleet.Instance) bool {
		return e.alive(ctx, i)
	})
}

func (e *entitler) first(
	id types.DatabaseID, revision types.Revision, ranked []fleet.Instance, alive func(fleet.Instance) bool,
) entitlement {
	x := entitlement{revision: revision}
	e.mu.Lock()
	superseded := e.superseded[id]
	e.mu.Unlock()
	if quorum.EpochRevision(superseded) > revision {
		return x
	}
	if quorum.EpochRevision(superseded) == revision {
		if rank := quorum.EpochRank(superseded); rank < len(ranked) && (e.isSelf(ranked[rank]) || alive(ranked[rank])) {
			x.expected, x.rank = ranked[rank].ID, rank
			return x
		}
	}
	for rank, i := range ranked {
		if e.isSelf(i) || (i.ID != e.network.Self().ID && alive(i)) {
			x.expected, x.rank = i.ID, rank
			return x
		}
	}
	return x
}

func (e *entitler) isSelf(i fleet.Instance) bool {
	self := e.network.Self()
	return i.ID == self.ID && i.Incarnation == self.Incarnation
}

func (e *entitler) alive(ctx context.Context, i fleet.Instance) bool {
	e.mu.Lock()
	last, ok := e.probes[i.ID]
	e.mu.Unlock()
	if ok && time.Since(last.at) < probeMemory {
		return last.alive
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	result := probe{alive: e.network.Probe(ctx, i.ID), at: time.Now()}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.probes[i.ID] = result
	return result.alive
}

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
	// probeResultTTL is how long the result of a probe is used again.
	probeResultTTL = 200 * time.Millisecond
)

// expectedOwner says who should own a database, as far as this instance can tell.
type expectedOwner struct {
	// instance is the instance that should own the database; empty when there is none.
	instance types.InstanceID
	// rank is the rank of the expected instance.
	rank     int
	revision types.Revision
}

// ownerSelector decides who should own a database; it is safe for concurrent use.
type ownerSelector struct {
	network network

	mu     sync.Mutex
	probes map[types.InstanceID]probeResult
	// supersededBy holds the epoch by which a database was lost.
	supersededBy map[types.DatabaseID]types.Epoch
}

type probeResult struct {
	at    time.Time
	alive bool
}

func newOwnerSelector(n network) *ownerSelector {
	return &ownerSelector{network: n, probes: map[types.InstanceID]probeResult{}, supersededBy: map[types.DatabaseID]types.Epoch{}}
}

// recordLoss records that a database was lost to an owner of the epoch.
func (e *ownerSelector) recordLoss(database types.DatabaseID, epoch types.Epoch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.supersededBy[database] = max(e.supersededBy[database], epoch)
}

// epochFor returns the epoch under which this instance may own the database.
func (e *ownerSelector) epochFor(database types.DatabaseID, x expectedOwner) types.Epoch {
	e.mu.Lock()
	defer e.mu.Unlock()
	return quorum.EpochAbove(e.supersededBy[database], x.revision, x.rank)
}

// selectOwner returns the instance that should own the database: the one that superseded this instance under the present
// membership, else the first by rank; those that are suspected are passed over. Nobody is expected while the database
// was lost under a newer membership than the one that this instance knows.
func (e *ownerSelector) selectOwner(database policy.Database) expectedOwner {
	members := e.network.Membership()
	return e.selectRanked(database.Database, members.Revision, rankedCandidates(members, database))
}

// selectRanked is decide for instances that were ranked before.
func (e *ownerSelector) selectRanked(id types.DatabaseID, revision types.Revision, ranked []fleet.Instance) expectedOwner {
	return e.firstAlive(id, revision, ranked, func(i fleet.Instance) bool { return !e.network.Suspected(i.ID) })
}

// selectByProbe is decide with a fresh probe of every instance that comes before this one.
func (e *ownerSelector) selectByProbe(ctx context.Context, database policy.Database) expectedOwner {
	members := e.network.Membership()
	return e.firstAlive(database.Database, members.Revision, rankedCandidates(members, database), func(i fleet.Instance) bool {
		return e.probeAlive(ctx, i)
	})
}

func (e *ownerSelector) firstAlive(
	id types.DatabaseID, revision types.Revision, ranked []fleet.Instance, alive func(fleet.Instance) bool,
) expectedOwner {
	x := expectedOwner{revision: revision}
	e.mu.Lock()
	superseded := e.supersededBy[id]
	e.mu.Unlock()
	if quorum.EpochRevision(superseded) > revision {
		return x
	}
	if quorum.EpochRevision(superseded) == revision {
		if rank := quorum.EpochRank(superseded); rank < len(ranked) && (e.isSelf(ranked[rank]) || alive(ranked[rank])) {
			x.instance, x.rank = ranked[rank].ID, rank
			return x
		}
	}
	for rank, i := range ranked {
		if e.isSelf(i) || (i.ID != e.network.Self().ID && alive(i)) {
			x.instance, x.rank = i.ID, rank
			return x
		}
	}
	return x
}

func (e *ownerSelector) isSelf(i fleet.Instance) bool {
	self := e.network.Self()
	return i.ID == self.ID && i.Incarnation == self.Incarnation
}

func (e *ownerSelector) probeAlive(ctx context.Context, i fleet.Instance) bool {
	e.mu.Lock()
	last, ok := e.probes[i.ID]
	e.mu.Unlock()
	if ok && time.Since(last.at) < probeResultTTL {
		return last.alive
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	result := probeResult{alive: e.network.Probe(ctx, i.ID), at: time.Now()}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.probes[i.ID] = result
	return result.alive
}

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
	// probeResultTTL is how long the result of a probe is reused.
	probeResultTTL = 200 * time.Millisecond
)

// expectedOwner is the instance that should own a database, according to what this instance knows.
type expectedOwner struct {
	// instance is empty when no instance should own the database.
	instance types.InstanceID
	// rank is the rank of the instance among the candidates.
	rank int
	// revision is the revision of the membership that was used.
	revision types.Revision
}

// ownerSelector determines which instance should own a database; it is safe for concurrent use.
type ownerSelector struct {
	network network

	mu     sync.Mutex
	probes map[types.InstanceID]probeResult
	// supersededBy holds, for each database that this instance lost, the epoch of the owner to which it lost the database.
	supersededBy map[types.DatabaseID]types.Epoch
}

type probeResult struct {
	at    time.Time
	alive bool
}

func newOwnerSelector(n network) *ownerSelector {
	return &ownerSelector{network: n, probes: map[types.InstanceID]probeResult{}, supersededBy: map[types.DatabaseID]types.Epoch{}}
}

// recordLoss records that this instance lost a database to an owner of the epoch.
func (s *ownerSelector) recordLoss(database types.DatabaseID, epoch types.Epoch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.supersededBy[database] = max(s.supersededBy[database], epoch)
}

// epochFor returns the epoch with which this instance claims the database.
func (s *ownerSelector) epochFor(database types.DatabaseID, expected expectedOwner) types.Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return quorum.EpochAbove(s.supersededBy[database], expected.revision, expected.rank)
}

// selectOwner returns the instance that should own the database: the one that superseded this instance under the current
// membership, otherwise the first by rank. Suspected instances are skipped. The result is empty when the database was lost
// under a newer membership than the one that this instance knows.
func (s *ownerSelector) selectOwner(database policy.Database) expectedOwner {
	members := s.network.Membership()
	return s.selectRanked(database.Database, members.Revision, rankedCandidates(members, database))
}

// selectRanked is selectOwner for instances that are already ranked.
func (s *ownerSelector) selectRanked(id types.DatabaseID, revision types.Revision, ranked []fleet.Instance) expectedOwner {
	return s.firstAlive(id, revision, ranked, func(i fleet.Instance) bool { return !s.network.Suspected(i.ID) })
}

// selectByProbe is selectOwner, but it skips the instances that do not answer a probe instead of the suspected ones.
func (s *ownerSelector) selectByProbe(ctx context.Context, database policy.Database) expectedOwner {
	members := s.network.Membership()
	return s.firstAlive(database.Database, members.Revision, rankedCandidates(members, database), func(i fleet.Instance) bool {
		return s.probeAlive(ctx, i)
	})
}

func (s *ownerSelector) firstAlive(
	id types.DatabaseID, revision types.Revision, ranked []fleet.Instance, alive func(fleet.Instance) bool,
) expectedOwner {
	expected := expectedOwner{revision: revision}
	s.mu.Lock()
	superseded := s.supersededBy[id]
	s.mu.Unlock()
	if quorum.EpochRevision(superseded) > revision {
		return expected
	}
	if quorum.EpochRevision(superseded) == revision {
		if rank := quorum.EpochRank(superseded); rank < len(ranked) && (s.isSelf(ranked[rank]) || alive(ranked[rank])) {
			expected.instance, expected.rank = ranked[rank].ID, rank
			return expected
		}
	}
	for rank, i := range ranked {
		if s.isSelf(i) || (i.ID != s.network.Self().ID && alive(i)) {
			expected.instance, expected.rank = i.ID, rank
			return expected
		}
	}
	return expected
}

func (s *ownerSelector) isSelf(i fleet.Instance) bool {
	self := s.network.Self()
	return i.ID == self.ID && i.Incarnation == self.Incarnation
}

// probeAlive reports whether the instance answers a probe; it uses the last result while that is recent enough.
func (s *ownerSelector) probeAlive(ctx context.Context, i fleet.Instance) bool {
	s.mu.Lock()
	last, ok := s.probes[i.ID]
	s.mu.Unlock()
	if ok && time.Since(last.at) < probeResultTTL {
		return last.alive
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	result := probeResult{alive: s.network.Probe(ctx, i.ID), at: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes[i.ID] = result
	return result.alive
}

package peers

import (
	"context"
	"sync"
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/pause"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

const (
	// membershipCheckInterval is the time between two checks of the instance's own membership.
	membershipCheckInterval = time.Second
	// noContactTimeout is how long no peer answers before the membership is read from the store.
	noContactTimeout = 2 * time.Second
	// minJoinBackoff and mostJoinPause bound the pause between attempts to join.
	minJoinBackoff = 500 * time.Millisecond
	maxJoinBackoff = 10 * time.Second
	// backoffResetAfter is how long an instance stays a member before a new loss counts as the first.
	backoffResetAfter = 30 * time.Second
	// attemptsThroughPeers is the number of attempts through peers before an instance writes the membership itself.
	attemptsThroughPeers = 2
)

// joiner keeps the instance in the membership.
type joiner struct {
	node       *node
	proposer   *proposer
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// The fields below belong to the joiner's goroutine.
	backoff    backoff
	attempts   int
	wasMember  bool
	joinedAt   time.Time
	superseded bool
}

func newJoiner(n *node, p *proposer) *joiner {
	ctx, cancel := context.WithCancel(context.Background())
	j := &joiner{node: n, proposer: p, cancel: cancel, backoff: newBackoff(minJoinBackoff, maxJoinBackoff)}
	changes := n.changes.subscribe()
	j.goroutines.Go(func() {
		j.loadMembership(ctx)
		for ctx.Err() == nil {
			j.checkMembership(ctx, changes)
		}
	})
	return j
}

func (j *joiner) close() {
	j.cancel()
	j.goroutines.Wait()
}

// loadMembership reads the membership from the store, or asks the seeds for it.
func (j *joiner) loadMembership(ctx context.Context) {
	if j.node.readMembership(ctx) == nil {
		return
	}
	for _, seed := range j.seeds(ctx) {
		if j.node.fetch(ctx, seed) && j.node.membership.current().Revision > 0 {
			return
		}
	}
}

// seeds returns the addresses of the settings and those of the platform's list.
func (j *joiner) seeds(ctx context.Context) []string {
	seeds := append([]string{}, j.node.settings.Seeds...)
	ctx, cancel := storeContext(ctx, 0)
	defer cancel()
	j.node.counters.StoreCalls.Add(1)
	listed, err := j.node.settings.Store.Targets(ctx)
	if err != nil {
		j.node.counters.StoreFailures.Add(1)
	}
	for _, l := range listed {
		if l.Kind == fleet.InstanceEntry && l.Address != j.node.settings.Self.PeerAddress {
			seeds = append(seeds, l.Address)
		}
	}
	return seeds
}

// checkMembership joins when the instance is missing, else waits for a change.
func (j *joiner) checkMembership(ctx context.Context, changes <-chan struct{}) {
	self := j.node.membership.localInstance()
	listed, found := j.node.membership.current().Find(self.ID)
	switch {
	case self.State == fleet.Leaving:
	case found && listed.Incarnation == self.Incarnation:
		j.recordMember()
	case found && listed.Incarnation > self.Incarnation:
		j.recordSuperseded(listed)
	default:
		j.join(ctx)
		return
	}
	j.wait(ctx, changes)
}

// recordMember notes that the instance is a member.
func (j *joiner) recordMember() {
	if !j.wasMember {
		j.wasMember, j.attempts, j.joinedAt = true, 0, time.Now()
	}
	if time.Since(j.joinedAt) > backoffResetAfter {
		j.backoff.Reset()
	}
}

// recordSuperseded notes that a later incarnation of the same id has taken over.
func (j *joiner) recordSuperseded(listed fleet.Instance) {
	if !j.superseded {
		j.superseded = true
		j.node.logger.Error("another process runs with this id, stop one of them",
			"instance", listed.ID, "incarnation", listed.Incarnation)
	}
}

// join makes one attempt and pauses when it fails.
func (j *joiner) join(ctx context.Context) {
	j.node.counters.JoinAttempts.Add(1)
	if j.wasMember {
		j.wasMember = false
		j.node.membership.updateLocalInstance(func(self *fleet.Instance) { self.Incarnation++ })
		j.node.logger.Warn("removed from the membership, joining again")
		if !pause.For(ctx, j.backoff.nextJittered()) {
			return
		}
	}
	self := j.node.membership.localInstance()
	err := j.joinOnce(ctx, self)
	if err == nil && j.node.membership.current().IsNoOp(fleet.Join{Instance: self}) {
		return
	}
	j.attempts++
	j.node.logger.Warn("not joined yet", "attempts", j.attempts, "reason", err)
	if pause.For(ctx, j.backoff.nextJittered()) && j.node.membership.current().Revision == 0 {
		j.loadMembership(ctx)
	}
}

// joinOnce joins through a peer, so that joins are written together, and by itself when no peer can.
func (j *joiner) joinOnce(ctx context.Context, self fleet.Instance) error {
	change := fleet.Join{Instance: self}
	request := &wire.Request{Kind: &wire.Request_Join{Join: &wire.Join{Instance: encodeInstance(self)}}}
	err := j.proposer.requestChange(ctx, change, request)
	if err == nil || j.attempts < attemptsThroughPeers {
		return err
	}
	return j.proposer.propose(ctx, change)
}

// wait returns on a change or after a while, and reads the store when no peer has answered for long.
func (j *joiner) wait(ctx context.Context, changes <-chan struct{}) {
	timer := time.NewTimer(membershipCheckInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changes:
	case <-timer.C:
		if j.node.documents.sinceLastContact() > noContactTimeout && len(j.node.membership.current().Instances) > 1 {
			_ = j.node.readMembership(ctx)
		}
	}
}

// leave announces that the instance stops taking work, or has finished it, until somebody has written it.
func (j *joiner) leave(ctx context.Context, finished bool) error {
	j.node.membership.updateLocalInstance(func(self *fleet.Instance) { self.State = fleet.Leaving })
	self := j.node.membership.localInstance()
	request := &wire.Request{Kind: &wire.Request_Leave{Leave: &wire.Leave{
		Instance: string(self.ID), Incarnation: uint64(self.Incarnation), Finished: finished,
	}}}
	change := leaveChange(self.ID, self.Incarnation, finished)
	retries := newBackoff(minStoreBackoff, maxStoreBackoff)
	for attempts := 0; ; attempts++ {
		err := j.proposer.requestChange(ctx, change, request)
		if err != nil && attempts >= attemptsThroughPeers {
			err = j.proposer.propose(ctx, change)
		}
		if err == nil {
			return nil
		}
		if !pause.For(ctx, retries.nextJittered()) {
			return err
		}
	}
}

func leaveChange(id types.InstanceID, incarnation fleet.Incarnation, finished bool) fleet.Change {
	if finished {
		return fleet.Remove{ID: id, Incarnation: incarnation}
	}
	return fleet.Leave{ID: id, Incarnation: incarnation}
}

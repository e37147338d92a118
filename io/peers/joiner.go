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
	// membershipCheckInterval is the time between two checks whether this instance is still a member.
	membershipCheckInterval = time.Second
	// noContactBeforeRead is the time without a response from any peer after which the membership is read from the store.
	noContactBeforeRead = 2 * time.Second
	// minJoinBackoff and maxJoinBackoff bound the pause between attempts to join.
	minJoinBackoff = 500 * time.Millisecond
	maxJoinBackoff = 10 * time.Second
	// backoffResetAfter is how long the instance has to stay a member before the backoff starts again at its minimum.
	backoffResetAfter = 30 * time.Second
	// attemptsThroughPeers is the number of attempts in which the instance writes the membership itself only when there
	// is no other proposer. In later attempts it also does so when the other proposers fail.
	attemptsThroughPeers = 2
)

// joiner keeps this instance in the membership: it joins, and joins again after a removal.
type joiner struct {
	node       *node
	proposer   *proposer
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// Only the joiner's goroutine uses the fields below.
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

// loadMembership reads the membership from the store, and fetches it from the seeds when that fails.
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

// seeds returns the seeds of the settings and the addresses of the other instances in the platform's list.
func (j *joiner) seeds(ctx context.Context) []string {
	seeds := append([]string{}, j.node.settings.Seeds...)
	ctx, cancel := storeContext(ctx, 0)
	defer cancel()
	j.node.counters.StoreCalls.Add(1)
	listed, err := j.node.settings.Store.Targets(ctx)
	if err != nil {
		j.node.counters.StoreFailures.Add(1)
	}
	for _, entry := range listed {
		if entry.Kind == fleet.InstanceEntry && entry.Address != j.node.settings.Self.PeerAddress {
			seeds = append(seeds, entry.Address)
		}
	}
	return seeds
}

// checkMembership joins when this instance is missing from the membership, and otherwise waits for a change.
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

// recordMember records that this instance is a member.
func (j *joiner) recordMember() {
	if !j.wasMember {
		j.wasMember, j.attempts, j.joinedAt = true, 0, time.Now()
	}
	if time.Since(j.joinedAt) > backoffResetAfter {
		j.backoff.Reset()
	}
}

// recordSuperseded records and logs that a later incarnation with the same id is in the membership.
func (j *joiner) recordSuperseded(listed fleet.Instance) {
	if !j.superseded {
		j.superseded = true
		j.node.logger.Error("another process runs with this id, stop one of them",
			"instance", listed.ID, "incarnation", listed.Incarnation)
	}
}

// join makes one attempt to join and waits for the backoff when it fails. After a removal it waits first and joins as a
// new incarnation.
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
	j.node.logger.Warn("not yet in the membership, trying to join again", "attempts", j.attempts, "reason", err)
	if pause.For(ctx, j.backoff.nextJittered()) && j.node.membership.current().Revision == 0 {
		j.loadMembership(ctx)
	}
}

// joinOnce has a peer write the join, so that joins of several instances are written together. After
// attemptsThroughPeers attempts, this instance writes its join itself when the peers fail.
func (j *joiner) joinOnce(ctx context.Context, self fleet.Instance) error {
	change := fleet.Join{Instance: self}
	request := &wire.Request{Kind: &wire.Request_Join{Join: &wire.Join{Instance: encodeInstance(self)}}}
	err := j.proposer.requestChange(ctx, change, request)
	if err == nil || j.attempts < attemptsThroughPeers {
		return err
	}
	return j.proposer.propose(ctx, change)
}

// wait waits for a change, at most for membershipCheckInterval. It then reads the membership from the store if no peer
// has responded for noContactBeforeRead.
func (j *joiner) wait(ctx context.Context, changes <-chan struct{}) {
	timer := time.NewTimer(membershipCheckInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changes:
	case <-timer.C:
		if j.node.documents.sinceLastContact() > noContactBeforeRead && len(j.node.membership.current().Instances) > 1 {
			_ = j.node.readMembership(ctx)
		}
	}
}

// leave marks this instance as leaving in the membership, or removes it when its work is finished. It retries until the
// change is written or the context ends, and writes the change itself as joinOnce does.
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

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
	// checkInterval is the time between two checks of the instance's own membership.
	checkInterval = time.Second
	// silenceBeforeRead is how long no peer answers before the membership is read from the store.
	silenceBeforeRead = 2 * time.Second
	// leastJoinPause and mostJoinPause bound the pause between attempts to join.
	leastJoinPause = 500 * time.Millisecond
	mostJoinPause  = 10 * time.Second
	// stableAfter is how long an instance stays a member before a new loss counts as the first.
	stableAfter = 30 * time.Second
	// attemptsByPeers is the number of attempts through peers before an instance writes the membership itself.
	attemptsByPeers = 2
)

// joiner keeps the instance in the membership.
type joiner struct {
	node     *node
	proposer *proposer
	cancel   context.CancelFunc
	running  sync.WaitGroup

	// The fields below belong to the joiner's goroutine.
	pause      backoff
	attempts   int
	wasMember  bool
	joined     time.Time
	superseded bool
}

func newJoiner(n *node, p *proposer) *joiner {
	ctx, cancel := context.WithCancel(context.Background())
	j := &joiner{node: n, proposer: p, cancel: cancel, pause: newBackoff(leastJoinPause, mostJoinPause)}
	changes := n.changes.subscribe()
	j.running.Go(func() {
		j.learn(ctx)
		for ctx.Err() == nil {
			j.check(ctx, changes)
		}
	})
	return j
}

func (j *joiner) close() {
	j.cancel()
	j.running.Wait()
}

// learn reads the membership from the store, or asks the seeds for it.
func (j *joiner) learn(ctx context.Context) {
	if j.node.readMembership(ctx) == nil {
		return
	}
	for _, seed := range j.seeds(ctx) {
		if j.node.fetch(ctx, seed) && j.node.roster.current().Revision > 0 {
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

// check joins when the instance is missing, else waits for a change.
func (j *joiner) check(ctx context.Context, changes <-chan struct{}) {
	self := j.node.roster.own()
	listed, found := j.node.roster.current().Find(self.ID)
	switch {
	case self.State == fleet.Leaving:
	case found && listed.Incarnation == self.Incarnation:
		j.settle()
	case found && listed.Incarnation > self.Incarnation:
		j.yield(listed)
	default:
		j.join(ctx)
		return
	}
	j.wait(ctx, changes)
}

// settle notes that the instance is a member.
func (j *joiner) settle() {
	if !j.wasMember {
		j.wasMember, j.attempts, j.joined = true, 0, time.Now()
	}
	if time.Since(j.joined) > stableAfter {
		j.pause.Reset()
	}
}

// yield notes that a later incarnation of the same id has taken over.
func (j *joiner) yield(listed fleet.Instance) {
	if !j.superseded {
		j.superseded = true
		j.node.logger.Error("another process runs with this id, stop one of them",
			"instance", listed.ID, "incarnation", listed.Incarnation)
	}
}

// join makes one attempt and pauses when it fails.
func (j *joiner) join(ctx context.Context) {
	j.node.counters.Rejoins.Add(1)
	if j.wasMember {
		j.wasMember = false
		j.node.roster.change(func(self *fleet.Instance) { self.Incarnation++ })
		j.node.logger.Warn("removed from the membership, joining again")
		if !pause.For(ctx, j.pause.pause()) {
			return
		}
	}
	self := j.node.roster.own()
	err := j.attempt(ctx, self)
	if err == nil && j.node.roster.current().IsNoOp(fleet.Join{Instance: self}) {
		return
	}
	j.attempts++
	j.node.logger.Warn("not joined yet", "attempts", j.attempts, "reason", err)
	if pause.For(ctx, j.pause.pause()) && j.node.roster.current().Revision == 0 {
		j.learn(ctx)
	}
}

// attempt joins through a peer, so that joins are written together, and by itself when no peer can.
func (j *joiner) attempt(ctx context.Context, self fleet.Instance) error {
	change := fleet.Join{Instance: self}
	request := &wire.Request{Kind: &wire.Request_Join{Join: &wire.Join{Instance: encodeInstance(self)}}}
	err := j.proposer.ask(ctx, change, request)
	if err == nil || j.attempts < attemptsByPeers {
		return err
	}
	return j.proposer.propose(ctx, change)
}

// wait returns on a change or after a while, and reads the store when no peer has answered for long.
func (j *joiner) wait(ctx context.Context, changes <-chan struct{}) {
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changes:
	case <-timer.C:
		if j.node.records.silence() > silenceBeforeRead && len(j.node.roster.current().Instances) > 1 {
			_ = j.node.readMembership(ctx)
		}
	}
}

// leave announces that the instance stops taking work, or has finished it, until somebody has written it.
func (j *joiner) leave(ctx context.Context, finished bool) error {
	j.node.roster.change(func(self *fleet.Instance) { self.State = fleet.Leaving })
	self := j.node.roster.own()
	request := &wire.Request{Kind: &wire.Request_Leave{Leave: &wire.Leave{
		Instance: string(self.ID), Incarnation: uint64(self.Incarnation), Finished: finished,
	}}}
	change := leaveChange(self.ID, self.Incarnation, finished)
	retries := newBackoff(leastStorePause, mostStorePause)
	for attempts := 0; ; attempts++ {
		err := j.proposer.ask(ctx, change, request)
		if err != nil && attempts >= attemptsByPeers {
			err = j.proposer.propose(ctx, change)
		}
		if err == nil {
			return nil
		}
		if !pause.For(ctx, retries.pause()) {
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

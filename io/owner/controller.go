package owner

import (
	"context"
	"time"

	"turmericpulley/core/quorum"
	"turmericpulley/core/types"
)

// failoverController moves the owner from phase to phase and replaces the primary; only its own goroutine uses it.
type failoverController struct {
	owner *Owner
	// noPrimarySince is the time from which firstPrimaryTimeout counts. When the owner loses its primary, it is set back by
	// firstPrimaryTimeout, so that another member may be promoted at once.
	noPrimarySince time.Time
	// partitionedSince is the time since which a majority of members has had no replication stream from the primary; zero while
	// fewer members are affected.
	partitionedSince time.Time
	lastPromotion    time.Time
	lastRepoint      map[types.TargetID]time.Time
	lastPrune        time.Time
	switchingSince   time.Time
}

func (c *failoverController) run(ctx context.Context) {
	ticker := time.NewTicker(controllerInterval)
	defer ticker.Stop()
	for {
		changed := c.owner.state.changes()
		c.step(ctx, time.Now())
		if c.owner.state.currentPhase() == lost {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

func (c *failoverController) step(ctx context.Context, now time.Time) {
	switch c.owner.state.currentPhase() {
	case claiming:
		if c.owner.state.mayServe(now, c.owner.settings.HandedOver) {
			c.noPrimarySince = now
			c.owner.state.setPhase(electing)
			c.findPrimary(ctx, now)
		}
	case electing:
		c.findPrimary(ctx, now)
	case serving:
		c.checkPrimary(ctx, now)
		c.repointReplicas(ctx, now)
		c.pruneMinPositions(now)
	case switching:
		c.switchOver(ctx, now)
	case lost:
	}
}

func (c *failoverController) findPrimary(ctx context.Context, now time.Time) {
	if primary, ok := quorum.CurrentPrimary(c.owner.state.reachable()); ok {
		c.owner.setPrimary(primary, nil)
		return
	}
	if now.Sub(c.noPrimarySince) >= firstPrimaryTimeout {
		c.promote(ctx, now, "")
	}
}

func (c *failoverController) checkPrimary(ctx context.Context, now time.Time) {
	reachable := c.owner.state.reachable()
	primary, ok := quorum.CurrentPrimary(reachable)
	if !ok {
		c.owner.state.setPhase(electing)
		c.noPrimarySince = now.Add(-firstPrimaryTimeout)
		c.promote(ctx, now, "")
		return
	}
	if id, term := c.owner.state.primaryAndTerm(); primary.Target != id || primary.Term != term {
		c.owner.setPrimary(primary, nil)
		return
	}
	if primary.Leaving && hasCandidate(reachable, primary) {
		c.switchingSince = now
		c.owner.state.setPhase(switching)
		return
	}
	c.checkPartition(ctx, now, primary, reachable)
}

// hasCandidate reports whether a member that is not leaving could replace the primary.
func hasCandidate(reachable []quorum.Observation, primary quorum.Observation) bool {
	for _, o := range reachable {
		if o.Target != primary.Target && !o.Leaving && o.Term == primary.Term {
			return true
		}
	}
	return false
}

// checkPartition replaces a primary that the owner reaches but that a majority of members cannot replicate from.
func (c *failoverController) checkPartition(ctx context.Context, now time.Time, primary quorum.Observation, reachable []quorum.Observation) {
	notStreaming := 0
	for _, o := range reachable {
		if o.Target != primary.Target && o.Role == quorum.Replica && o.Term == primary.Term && !o.Streaming {
			notStreaming++
		}
	}
	if notStreaming < c.owner.state.majority || now.Sub(c.lastPromotion) < partitionedPrimaryTimeout {
		c.partitionedSince = time.Time{}
		return
	}
	if c.partitionedSince.IsZero() {
		c.partitionedSince = now
	}
	if now.Sub(c.partitionedSince) >= partitionedPrimaryTimeout {
		c.partitionedSince = time.Time{}
		c.promote(ctx, now, primary.Target)
	}
}

// switchOver promotes another member once the leaving primary has no transactions left and a replica has its whole log. After
// switchoverTimeout it promotes without these conditions. If that fails, the owner serves with the leaving primary again.
func (c *failoverController) switchOver(ctx context.Context, now time.Time) {
	id, _ := c.owner.state.primaryAndTerm()
	reachable := c.owner.state.reachable()
	primary, ok := quorum.CurrentPrimary(reachable)
	if !ok {
		c.owner.state.setPhase(electing)
		return
	}
	caughtUp := false
	for _, o := range reachable {
		if o.Target != id && o.Term == primary.Term && o.Position >= primary.Position && !o.Leaving {
			caughtUp = true
		}
	}
	idle := c.owner.primaryIdle(id)
	if (idle && caughtUp) || now.Sub(c.switchingSince) > switchoverTimeout {
		c.promote(ctx, now, id)
		if c.owner.state.currentPhase() == switching && now.Sub(c.switchingSince) > switchoverTimeout {
			c.owner.state.setPhase(serving)
		}
	}
}

// repointReplicas instructs members that do not follow the current term's primary to replicate from it. It skips members that
// are fenced at a higher term, because they refuse to follow a primary of a lower one.
func (c *failoverController) repointReplicas(ctx context.Context, now time.Time) {
	id, term := c.owner.state.primaryAndTerm()
	for _, o := range c.owner.state.reachable() {
		if o.Target == id || (o.Role == quorum.Replica && o.Term == term) || o.FencedTerm > term {
			continue
		}
		if now.Sub(c.lastRepoint[o.Target]) < minRepointInterval {
			continue
		}
		c.lastRepoint[o.Target] = now
		c.owner.repointReplica(ctx, o.Target, id, term)
	}
}

// pruneMinPositions removes the minimum positions that every reachable replica has applied.
func (c *failoverController) pruneMinPositions(now time.Time) {
	if now.Sub(c.lastPrune) < pruneInterval {
		return
	}
	c.lastPrune = now
	id, _ := c.owner.state.primaryAndTerm()
	lowest := types.Position(0)
	replicas := 0
	for _, o := range c.owner.state.reachable() {
		if o.Target == id {
			continue
		}
		if replicas == 0 || o.Applied < lowest {
			lowest = o.Applied
		}
		replicas++
	}
	if replicas > 0 {
		c.owner.minPositions.RecordApplied(lowest)
	}
}

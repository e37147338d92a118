package owner

import (
	"context"
	"time"

	"turmericpulley/core/quorum"
	"turmericpulley/core/types"
)

// conductor moves the owner from phase to phase; it belongs to one goroutine.
type conductor struct {
	owner *Owner
	// noPrimarySince is when the owner last ceased to see a primary.
	noPrimarySince time.Time
	// cutSince is when the replicas last ceased to hear the primary.
	cutSince       time.Time
	lastPromotion  time.Time
	lastFollow     map[types.TargetID]time.Time
	lastFloors     time.Time
	switchingSince time.Time
}

func (c *conductor) run(ctx context.Context) {
	ticker := time.NewTicker(conductorPeriod)
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

func (c *conductor) step(ctx context.Context, now time.Time) {
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
		c.follow(ctx, now)
		c.forgetFloors(now)
	case switching:
		c.switchOver(ctx, now)
	case lost:
	}
}

func (c *conductor) findPrimary(ctx context.Context, now time.Time) {
	if primary, ok := quorum.CurrentPrimary(c.owner.state.up()); ok {
		c.owner.adopt(primary, nil)
		return
	}
	if now.Sub(c.noPrimarySince) >= firstPrimaryWait {
		c.promote(ctx, now, "")
	}
}

func (c *conductor) checkPrimary(ctx context.Context, now time.Time) {
	up := c.owner.state.up()
	primary, ok := quorum.CurrentPrimary(up)
	if !ok {
		c.owner.state.setPhase(electing)
		c.noPrimarySince = now.Add(-firstPrimaryWait)
		c.promote(ctx, now, "")
		return
	}
	if id, term := c.owner.state.primaryAndTerm(); primary.Target != id || primary.Term != term {
		c.owner.adopt(primary, nil)
		return
	}
	if primary.Leaving && hasSuccessor(up, primary) {
		c.switchingSince = now
		c.owner.state.setPhase(switching)
		return
	}
	c.checkCut(ctx, now, primary, up)
}

// hasSuccessor reports whether a member that is not leaving could take over from the primary.
func hasSuccessor(up []quorum.Observation, primary quorum.Observation) bool {
	for _, o := range up {
		if o.Target != primary.Target && !o.Leaving && o.Term == primary.Term {
			return true
		}
	}
	return false
}

// checkCut replaces a primary that a majority of members no longer hears although the owner does.
func (c *conductor) checkCut(ctx context.Context, now time.Time, primary quorum.Observation, up []quorum.Observation) {
	deaf := 0
	for _, o := range up {
		if o.Target != primary.Target && o.Role == quorum.Replica && o.Term == primary.Term && !o.Streaming {
			deaf++
		}
	}
	if deaf < c.owner.state.majority || now.Sub(c.lastPromotion) < cutPrimaryWait {
		c.cutSince = time.Time{}
		return
	}
	if c.cutSince.IsZero() {
		c.cutSince = now
	}
	if now.Sub(c.cutSince) >= cutPrimaryWait {
		c.cutSince = time.Time{}
		c.promote(ctx, now, primary.Target)
	}
}

// switchOver promotes another member once the leaving primary's work has finished and been replicated.
func (c *conductor) switchOver(ctx context.Context, now time.Time) {
	id, _ := c.owner.state.primaryAndTerm()
	up := c.owner.state.up()
	primary, ok := quorum.CurrentPrimary(up)
	if !ok {
		c.owner.state.setPhase(electing)
		return
	}
	caughtUp := false
	for _, o := range up {
		if o.Target != id && o.Term == primary.Term && o.Position >= primary.Position && !o.Leaving {
			caughtUp = true
		}
	}
	idle := c.owner.primaryIdle(id)
	if (idle && caughtUp) || now.Sub(c.switchingSince) > switchoverLimit {
		c.promote(ctx, now, id)
		if c.owner.state.currentPhase() == switching && now.Sub(c.switchingSince) > switchoverLimit {
			c.owner.state.setPhase(serving)
		}
	}
}

// follow points members that lag behind the current term at the primary.
func (c *conductor) follow(ctx context.Context, now time.Time) {
	id, term := c.owner.state.primaryAndTerm()
	for _, o := range c.owner.state.up() {
		if o.Target == id || (o.Role == quorum.Replica && o.Term == term) || o.FencedTerm > term {
			continue
		}
		if now.Sub(c.lastFollow[o.Target]) < followPause {
			continue
		}
		c.lastFollow[o.Target] = now
		c.owner.followPrimary(ctx, o.Target, id, term)
	}
}

func (c *conductor) forgetFloors(now time.Time) {
	if now.Sub(c.lastFloors) < floorsPeriod {
		return
	}
	c.lastFloors = now
	id, _ := c.owner.state.primaryAndTerm()
	lowest := types.Position(0)
	replicas := 0
	for _, o := range c.owner.state.up() {
		if o.Target == id {
			continue
		}
		if replicas == 0 || o.Applied < lowest {
			lowest = o.Applied
		}
		replicas++
	}
	if replicas > 0 {
		c.owner.floors.RecordApplied(lowest)
	}
}

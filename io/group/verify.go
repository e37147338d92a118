package group

import (
	"context"
	"time"

	"turmericpulley/core/pause"
	"turmericpulley/core/routes"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
)

const (
	// verifyAttempts is the number of probes over new connections that must fail before a primary counts as dead.
	verifyAttempts = 3
	// handOverAttempts is the number of them that must fail before the database is handed over to an instance that reaches the
	// primary. A handover loses nothing, so that fewer suffice.
	handOverAttempts = 2
	// verifyRetryDelay is the time between two of these probes; it matters when they fail immediately.
	verifyRetryDelay = 80 * time.Millisecond
)

// verifyPrimary probes a suspected primary. After handOverAttempts failed probes it hands the database over to an instance that
// reaches the primary, and if there is none until verifyAttempts have failed, it replaces the primary. It replaces a primary that
// is no longer listed without probing it.
//
// It answers a primary that is cut from its owner but not from all other instances: callers' statements end at their deadlines
// until somebody who reaches the primary owns the database. The other instances are therefore asked after the first failed probe,
// while the next ones run.
func (c *failoverController) verifyPrimary(ctx context.Context, primary types.TargetID) {
	g := c.group
	member, listed := g.member(primary)
	if !listed {
		g.logger.Warn("primary no longer listed", "member", primary)
		g.scheduler.SuspendPrimary(expectedPromotionTime)
		c.replacePrimary(ctx, primary, failover)
		return
	}
	var lastErr error
	var witnesses <-chan types.InstanceID
	for attempt := range verifyAttempts {
		if attempt > 0 && !pause.For(ctx, verifyRetryDelay) {
			return
		}
		observed := g.probe(ctx, member, stmt.Statement{Kind: stmt.Status})
		if observed.err == nil {
			c.handlePrimaryStatus(ctx, observed)
			return
		}
		if observed.isBusy() {
			return
		}
		lastErr = observed.err
		if attempt == 0 {
			witnesses = c.searchWitnesses(ctx, member)
		}
		if attempt+1 == handOverAttempts && len(witnesses) > 0 {
			break
		}
	}
	g.logger.Warn("primary not reached", "member", primary, "reason", lastErr)
	g.scheduler.SuspendPrimary(expectedPromotionTime)
	if p := g.pool(primary); p != nil {
		// The statements that wait for these connections are tried again, at the next owner or primary.
		p.abandonDials()
	}
	if c.handOver(ctx, member, witnesses) {
		return
	}
	g.settings.RefreshMembers()
	c.replacePrimary(ctx, primary, failover)
}

// searchWitnesses asks other instances whether they reach the primary. The channel gets those that do, and is closed when all
// have answered.
func (c *failoverController) searchWitnesses(ctx context.Context, primary routes.Member) <-chan types.InstanceID {
	g := c.group
	if g.settings.Witnesses == nil {
		none := make(chan types.InstanceID)
		close(none)
		return none
	}
	return g.settings.Witnesses(ctx, primary, g.currentTerm())
}

// handOver hands the database over to the first of the instances that still reach the primary and can own the database. A network
// failure between this instance and the primary then costs neither a promotion nor the commits that no replica has received. It
// reports whether any instance reaches the primary.
func (c *failoverController) handOver(ctx context.Context, primary routes.Member, witnesses <-chan types.InstanceID) bool {
	g := c.group
	found := false
	for to := range witnesses {
		found = true
		handedOver := g.settings.HandOver(ctx, to)
		g.logger.Info("primary reached by another instance", "member", primary.Target, "witness", to, "able", handedOver)
		if handedOver {
			break
		}
	}
	return found
}

// silentPrimary returns the member whose entry says that it is the primary when it did not answer this instance.
func silentPrimary(observations []observation) (routes.Member, bool) {
	for _, o := range observations {
		if o.member.ReportsPrimary && o.err != nil && !o.isBusy() {
			return o.member, true
		}
	}
	return routes.Member{}, false
}

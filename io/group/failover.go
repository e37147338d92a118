package group

import (
	"context"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/hold"
	"turmericpulley/core/routes"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
)

// failoverController monitors the members of one database, finds its primary and replaces it.
type failoverController struct {
	group *Group
	// lineage decides which history is in force; nil before the first search for a primary.
	lineage *hold.Lineage
	// lostAt is the moment since which no primary has been active; zero while one is.
	lostAt clock.Moment
	// soughtAt is when other instances were last asked for a primary that this one has not reached yet.
	soughtAt clock.Moment
	// queriedAt is when the status of each member was last queried.
	queriedAt map[types.TargetID]clock.Moment
}

func (c *failoverController) run(ctx context.Context) {
	c.queriedAt = map[types.TargetID]clock.Moment{}
	ticker := time.NewTicker(controllerInterval)
	defer ticker.Stop()
	tallies := time.NewTicker(tallyInterval)
	defer tallies.Stop()
	for {
		c.reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-tallies.C:
			c.group.logTallies()
		case <-c.group.wakeups:
		}
	}
}

// reconcile takes the action that the state of the primary and the suspected member calls for.
func (c *failoverController) reconcile(ctx context.Context) {
	g := c.group
	if g.draining.Load() || len(g.listMembers()) == 0 || !g.settings.Ownership.Lease().Valid() {
		return
	}
	primary, active := g.scheduler.Primary()
	if !active {
		c.findPrimary(ctx)
		return
	}
	member, listed := g.member(primary)
	switch suspected := g.takeSuspected(primary); {
	case suspected == primary || !listed:
		c.verifyPrimary(ctx, primary)
	case member.Leaving:
		if !g.mayUse(primary) {
			g.logger.Warn("leaving primary gets no statements any more", "member", primary)
			g.scheduler.SuspendPrimary(expectedPromotionTime)
		}
		c.replacePrimary(ctx, primary, switchover)
	case suspected != "":
		c.checkReplica(ctx, suspected)
	default:
		c.checkMembers(ctx)
	}
}

// takeSuspected returns a suspected member that is no longer recorded as suspected then, the primary before all others; empty
// when there is none. The controller is woken again for those that remain.
func (g *Group) takeSuspected(primary types.TargetID) types.TargetID {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := primary
	if !g.suspected[primary] {
		next = ""
		for target := range g.suspected {
			next = target
		}
	}
	delete(g.suspected, next)
	if len(g.suspected) > 0 {
		g.wakeController()
	}
	return next
}

// missingPrimaryTimeout is how long the primary may be missing before another member is promoted. A change of owner during
// a short network failure should not cost a promotion.
const missingPrimaryTimeout = 500 * time.Millisecond

// firstPrimaryTimeout is the same for an owner that has not found a primary yet. After an outage of the store the members'
// entries are complete only two seconds after the store's return.
const firstPrimaryTimeout = 2500 * time.Millisecond

// findPrimary probes all members and makes the primary of the highest term the active one if it may be used. When it is missing for too
// long, a failover starts.
func (c *failoverController) findPrimary(ctx context.Context) {
	g := c.group
	now := g.settings.Clock.Now()
	if c.lostAt == 0 {
		c.lostAt = now
	}
	if left := g.settings.Ownership.UnknownPromotions(); left > 0 && g.currentTerm() == 0 {
		// A member that is the primary now may lose what it commits until then.
		g.scheduler.SuspendPrimary(left)
		return
	}
	if c.lineage == nil {
		c.lineage = hold.NewLineage(g.settings.Ownership.RecordedPromotion())
	}
	observations := g.probeAll(ctx, g.listMembers())
	if g.settings.Clock.Since(c.lostAt) >= promotionTimeout {
		c.lineage.Refute(reportsOf(observations))
	}
	best, found := highestTermPrimary(observations)
	usable := found && c.lineage.MayUse(best.report())
	if usable && !g.mayUse(best.member.Target) {
		c.replacePrimary(ctx, best.member.Target, switchover)
		return
	}
	if usable {
		c.openPrimary(best)
		return
	}
	if m, silent := silentPrimary(observations); silent && g.settings.Clock.Since(c.soughtAt) > missingPrimaryTimeout {
		c.soughtAt = g.settings.Clock.Now()
		if c.handOver(ctx, m, c.searchWitnesses(ctx, m)) {
			return
		}
	}
	c.failOver(ctx, best, found)
}

// failOver replaces the primary once it has been missing for too long. A primary that was found, and that may not be used in its term, is a
// candidate then.
func (c *failoverController) failOver(ctx context.Context, unusable observation, found bool) {
	g := c.group
	old, _ := g.scheduler.Primary()
	timeout := missingPrimaryTimeout
	switch {
	case found:
		// The open promotion of another member may still take effect until then.
		old, timeout = "", promotionTimeout
	case g.currentTerm() == 0:
		timeout = firstPrimaryTimeout
	}
	missing := g.settings.Clock.Since(c.lostAt)
	if found && missing < timeout {
		g.scheduler.SuspendPrimary(timeout - missing)
	}
	if missing <= timeout {
		return
	}
	if found {
		g.logger.Warn("primary needs a promotion, another member may have been promoted", "member", unusable.member.Target,
			"term", unusable.status.Term, "openPromotion", c.lineage.HasOpenPromotion())
	}
	c.replacePrimary(ctx, old, failover)
}

// highestTermPrimary returns the primary of the highest term. False means that there is none, or that another member reports a higher term.
func highestTermPrimary(observations []observation) (observation, bool) {
	var best observation
	found := false
	var known types.Term
	for _, o := range observations {
		if o.err != nil {
			continue
		}
		known = max(known, o.status.Term)
		if o.status.Primary && (!found || o.status.Term > best.status.Term) {
			best, found = o, true
		}
	}
	return best, found && best.status.Term >= known
}

// openPrimary makes the member the active primary, to which the scheduler sends statements. It does nothing in a term that is lower than
// one that has been served already.
func (c *failoverController) openPrimary(o observation) {
	g := c.group
	g.mu.Lock()
	served := g.term
	if o.status.Term >= served {
		g.primary, g.term = o.member.Target, o.status.Term
	}
	g.mu.Unlock()
	if o.status.Term < served {
		g.logger.Error("primary not used, a later term has been served", "member", o.member.Target, "term", o.status.Term, "served", served)
		return
	}
	timeline := c.lineage.Opened(o.report())
	c.lostAt = 0
	g.setUsable(o.member.Target, true, "primary found")
	g.updateScheduler()
	g.scheduler.SetPrimary(o.member.Target, o.status.Term, o.applied.Max(o.status.Received), o.queriedAt)
	g.logger.Info("primary active", "member", o.member.Target, "term", o.status.Term, "position", o.applied.String(),
		"timeline", timeline.String(), "epoch", g.settings.Ownership.Lease().Epoch())
	if p := g.settings.Ownership.RecordedPromotion(); p != nil && !p.Void && !p.LedTo(o.report()) {
		c.voidPromotion(*p, timeline)
	}
}

// voidPromotion records that the promotion had no effect, so that the next owner need not find out.
func (c *failoverController) voidPromotion(p hold.Promotion, timeline types.Timeline) {
	g := c.group
	g.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), promoteCallTimeout)
		defer cancel()
		err := g.settings.Ownership.VoidPromotion(ctx, p.Voided(timeline))
		g.logger.Info("promotion had no effect", "member", p.Target, "term", p.Term, "timeline", timeline.String(), "error", err)
	})
}

// handlePrimaryStatus handles the status of a suspected primary that answered.
func (c *failoverController) handlePrimaryStatus(ctx context.Context, observed observation) {
	g := c.group
	if observed.status.Primary && observed.status.Term >= g.currentTerm() {
		g.scheduler.RecordPrimaryPosition(observed.member.Target, observed.applied, observed.queriedAt)
		return
	}
	g.logger.Warn("member is no longer the primary", "member", observed.member.Target, "term", observed.status.Term)
	g.scheduler.SuspendPrimary(expectedPromotionTime)
	c.lostAt = g.settings.Clock.Now()
	c.findPrimary(ctx)
}

// checkReplica probes a suspected replica.
func (c *failoverController) checkReplica(ctx context.Context, target types.TargetID) {
	if m, listed := c.group.member(target); listed {
		c.recordObservation(c.group.probe(ctx, m, stmt.Statement{Kind: stmt.Status}))
	}
}

// recordObservation records the result of a query of a member that is not the active primary.
func (c *failoverController) recordObservation(observed observation) {
	g := c.group
	if observed.err != nil && !observed.isBusy() {
		g.setUsable(observed.member.Target, false, observed.err.Error())
		return
	}
	if !observed.applied.IsZero() {
		g.scheduler.RecordReplicaPosition(observed.member.Target, observed.applied)
	}
	if observed.err == nil && observed.status.Primary && observed.status.Term < g.currentTerm() {
		c.stepDown(observed.member)
	}
	g.setUsable(observed.member.Target, true, "answers")
}

// checkMembers queries, in the background, the members whose last contact and last query are older than maxContactAge.
func (c *failoverController) checkMembers(ctx context.Context) {
	g := c.group
	now := g.settings.Clock.Now()
	for _, m := range g.listMembers() {
		lastContact, known := g.scheduler.LastContact(m.Target)
		if known && now.Sub(lastContact) < maxContactAge || now.Sub(c.queriedAt[m.Target]) < maxContactAge {
			continue
		}
		c.queriedAt[m.Target] = now
		g.goroutines.Go(func() { c.checkMember(ctx, m) })
	}
}

// checkMember queries one member for its status.
func (c *failoverController) checkMember(ctx context.Context, m routes.Member) {
	g := c.group
	observed := g.probeOnIdleConn(ctx, m)
	if primary, _ := g.scheduler.Primary(); m.Target != primary {
		c.recordObservation(observed)
		return
	}
	if observed.err != nil || !observed.status.Primary {
		g.suspect(m.Target)
		return
	}
	if g.settings.Ownership.Lease().Valid() {
		g.scheduler.RecordPrimaryPosition(m.Target, observed.applied, observed.queriedAt)
	}
}

// stepDown instructs a primary of an earlier term to become a replica.
func (c *failoverController) stepDown(m routes.Member) {
	g := c.group
	term := g.currentTerm()
	g.goroutines.Go(func() {
		observed := g.probe(context.Background(), m, stmt.Statement{Kind: stmt.StepDown, Term: term})
		g.logger.Info("old primary instructed to step down", "member", m.Target, "term", term, "error", observed.err)
	})
}

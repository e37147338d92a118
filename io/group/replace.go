package group

import (
	"context"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/hold"
	"turmericpulley/core/pause"
	"turmericpulley/core/place"
	"turmericpulley/core/routes"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
)

// replacementKind says why the primary is replaced.
type replacementKind int

const (
	// failover follows the loss of the primary.
	failover replacementKind = iota
	// switchover is planned: the primary is about to leave, and the replicas get time to receive its whole log.
	switchover
)

// replacePrimary suspends statements to the old primary and promotes the replica with the longest log. A switchover first
// waits for the work in flight. It does not begin before a member may be promoted, so that the old primary serves until then.
func (c *failoverController) replacePrimary(ctx context.Context, old types.TargetID, kind replacementKind) {
	g := c.group
	if kind == switchover && !c.hasCandidate(old) {
		return
	}
	// Transactions at a primary that is lost, or that may not be used any more, cannot commit.
	letEnd := kind == switchover && g.mayUse(old)
	if kind == switchover && !g.settings.Ownership.MayPromote(ctx, letEnd) {
		c.delaySwitchover("an earlier owner may still serve the database")
		return
	}
	if kind == switchover && !c.hasSuccessor(ctx, old) {
		c.delaySwitchover("no member that stays holds all commits")
		return
	}
	g.scheduler.SuspendPrimary(expectedPromotionTime)
	if c.lostAt == 0 {
		c.lostAt = g.settings.Clock.Now()
	}
	var end types.LogPosition
	if kind == switchover {
		end = c.quiesce(ctx, old)
	}
	g.closePrimaryConns(old)
	candidate, promotion, found := c.elect(ctx, old, kind, end)
	if !found {
		g.logger.Warn("no member can be promoted")
		pause.For(ctx, controllerInterval)
		return
	}
	if !g.settings.Ownership.MayPromote(ctx, letEnd) {
		g.logger.Warn("promotion delayed, an earlier owner may still serve the database")
		g.scheduler.SuspendPrimary(expectedPromotionTime)
		return
	}
	c.promote(ctx, candidate, promotion, old)
}

// delaySwitchover lets the old primary serve on if it is active. Statements do not wait for another one.
func (c *failoverController) delaySwitchover(reason string) {
	g := c.group
	g.logger.Warn("switchover delayed, " + reason)
	if _, active := g.scheduler.Primary(); !active {
		g.scheduler.SuspendPrimary(expectedPromotionTime)
	}
}

// hasCandidate reports whether a member other than the old primary is listed and not leaving.
func (c *failoverController) hasCandidate(old types.TargetID) bool {
	for _, m := range c.group.listMembers() {
		if m.Target != old && !m.Leaving {
			return true
		}
	}
	return false
}

// hasSuccessor reports whether a member that stays has received all that the leaving primary holds. Without synchronous replicas, or when
// the primary does not answer, any may be promoted.
func (c *failoverController) hasSuccessor(ctx context.Context, old types.TargetID) bool {
	g := c.group
	if g.settings.SyncReplicas == 0 {
		return true
	}
	end := c.logEnd(ctx, old)
	if end.IsZero() {
		return true
	}
	observations := g.probeAll(ctx, c.otherMembers(old))
	timeline := c.lineage.Timeline(reportsOf(observations))
	for _, o := range observations {
		if o.err == nil && !o.member.Leaving && timeline.Compare(o.status.Received, end) >= 0 {
			return true
		}
	}
	return false
}

// logEnd returns the end of a member's log; zero when the member is not listed or does not answer.
func (c *failoverController) logEnd(ctx context.Context, target types.TargetID) types.LogPosition {
	m, listed := c.group.member(target)
	if !listed {
		return types.LogPosition{}
	}
	observed := c.group.probe(ctx, m, stmt.Statement{Kind: stmt.Status})
	if observed.err != nil {
		return types.LogPosition{}
	}
	return observed.status.Received.Max(observed.applied)
}

// quiesce waits, for drainTimeout at most, until the work in flight at a leaving primary has ended. It returns the end
// of the primary's log; zero when that is unknown.
func (c *failoverController) quiesce(ctx context.Context, old types.TargetID) types.LogPosition {
	g := c.group
	deadline := g.settings.Clock.Now().Add(drainTimeout)
	for g.settings.Clock.Now() < deadline {
		if statements, connections := g.scheduler.InUse(old); statements == 0 && connections == 0 {
			break
		}
		if !pause.For(ctx, 10*time.Millisecond) {
			return types.LogPosition{}
		}
	}
	return c.logEnd(ctx, old)
}

// elect returns the member to promote and the promotion to record. In a planned replacement it waits, for catchUpTimeout at most, for a member
// whose log reaches the given end; any log reaches a zero end.
func (c *failoverController) elect(
	ctx context.Context, old types.TargetID, kind replacementKind, end types.LogPosition,
) (routes.Member, hold.Promotion, bool) {
	g := c.group
	deadline := g.settings.Clock.Now().Add(catchUpTimeout)
	for {
		observations := g.probeAll(ctx, c.otherMembers(old))
		election := c.newElection(observations, kind, end)
		best, found := election.Best()
		promotable, isLate := found && election.CanPromote(best), g.settings.Clock.Now() >= deadline
		mayCatchUp := g.settings.SyncReplicas > 0 && !end.IsZero() && !isLate
		if found && !promotable && !mayCatchUp {
			g.logger.Warn("no member is known to hold all acknowledged commits, and none that were dropped", "best", best.Target,
				"received", best.Log.String(), "timeline", election.Timeline.String(), "seen", describeObservations(observations))
			return routes.Member{}, hold.Promotion{}, false
		}
		if promotable && election.Timeline.Compare(best.Log, end) >= 0 || isLate {
			member, listed := g.member(best.Target)
			return member, c.newPromotion(best.Target, observations), found && listed
		}
		if !pause.For(ctx, 20*time.Millisecond) {
			return routes.Member{}, hold.Promotion{}, false
		}
	}
}

// newPromotion returns the promotion of one of the observed members as it is recorded.
func (c *failoverController) newPromotion(target types.TargetID, observations []observation) hold.Promotion {
	reports := reportsOf(observations)
	promotion := hold.Promotion{Target: target, Term: c.nextTerm(observations), Timeline: c.lineage.NextRecord(reports)}
	for _, r := range reports {
		if r.Target == target {
			promotion.Before = r
		}
	}
	return promotion
}

// newElection returns what the observations of the members besides the old primary say about its replacement. The end is that of the
// log of a primary that is replaced as planned, zero when it is unknown.
func (c *failoverController) newElection(observations []observation, kind replacementKind, end types.LogPosition) place.Election {
	g := c.group
	election := place.Election{
		SyncReplicas: g.settings.SyncReplicas, Planned: kind == switchover && !end.IsZero(), Members: len(observations),
		WithoutPrimary: g.settings.Clock.Since(c.lostAt), LastAcknowledged: g.lastAcknowledged().Max(end),
		Timeline: c.lineage.Timeline(reportsOf(observations)),
	}
	for _, o := range observations {
		switch {
		case o.err == nil:
			election.Candidates = append(election.Candidates, place.Candidate{
				Target: o.member.Target, Leaving: o.member.Leaving, Log: o.status.Received,
			})
		case o.isBusy():
			election.Busy++
		}
	}
	return election
}

// nextTerm returns a term above all that are known.
func (c *failoverController) nextTerm(observations []observation) types.Term {
	term := c.group.currentTerm()
	for _, o := range observations {
		if o.err == nil {
			term = max(term, o.status.Term, o.status.PausedTerm)
		}
	}
	if p := c.group.settings.Ownership.RecordedPromotion(); p != nil {
		term = max(term, p.Term)
	}
	return term + 1
}

// otherMembers returns all members except the old primary.
func (c *failoverController) otherMembers(old types.TargetID) []routes.Member {
	var others []routes.Member
	for _, m := range c.group.listMembers() {
		if m.Target != old {
			others = append(others, m)
		}
	}
	return others
}

// promoteCallWindow plus promoteCallTimeout is how long after the start of recording the promotion the call may still be
// sent. A process that was suspended longer abandons the attempt, because the next owner may have promoted a member
// meanwhile.
const promoteCallWindow = 500 * time.Millisecond

// promote records the promotion in the store, sends the promotion call and waits until the member is the primary.
func (c *failoverController) promote(ctx context.Context, candidate routes.Member, promotion hold.Promotion, old types.TargetID) {
	g := c.group
	began := g.settings.Clock.Now()
	token, err := g.settings.Ownership.RecordPromotion(ctx, promotion)
	if err != nil {
		g.logger.Warn("promotion not recorded", "member", candidate.Target, "term", promotion.Term, "error", err)
		pause.For(ctx, controllerInterval)
		return
	}
	if g.settings.Clock.Since(began) > promoteCallWindow+promoteCallTimeout || !g.settings.Ownership.Lease().Valid() {
		g.logger.Warn("promotion abandoned, recording it took too long or the lease ended", "member", candidate.Target)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, promoteCallTimeout)
	outcome, err := g.settings.Promoter.Promote(callCtx, g.settings.Database, candidate.Target, token)
	cancel()
	g.logger.Info("promotion requested", "member", candidate.Target, "term", promotion.Term, "token", token, "old", old,
		"log", promotion.Before.End.String(), "timeline", promotion.Timeline.String(), "outcome", int(outcome), "error", err)
	if outcome == PromoteNotDone || outcome == PromoteRefused {
		pause.For(ctx, controllerInterval)
		return
	}
	c.lineage.Requested(promotion)
	c.awaitPromotion(ctx, candidate, promotion, outcome, began.Add(promotionTimeout))
	if m, known := g.lastEntry(old); known && old != candidate.Target {
		c.stepDown(m)
	}
}

// awaitPromotion makes the promoted member the active primary as soon as it reports the effect of the promotion.
//
// The platform accepts the promotion of its present primary and changes nothing. A primary that still reports its old term when an accepted
// promotion would long have taken effect is that one.
func (c *failoverController) awaitPromotion(
	ctx context.Context, candidate routes.Member, promotion hold.Promotion, outcome PromoteOutcome, deadline clock.Moment,
) {
	g := c.group
	var last observation
	for g.settings.Clock.Now() < deadline {
		last = g.probeOnIdleConn(ctx, candidate)
		if last.err == nil && c.lineage.MayUse(last.report()) && g.settings.Ownership.Lease().Valid() {
			c.openPrimary(last)
			return
		}
		if !pause.For(ctx, 25*time.Millisecond) {
			return
		}
	}
	if outcome == PromoteAccepted && last.err == nil && promotion.ConfirmsPresent(last.report()) && g.settings.Ownership.Lease().Valid() {
		g.logger.Warn("platform confirmed the present primary", "member", candidate.Target, "term", last.status.Term)
		c.openPrimary(last)
		return
	}
	g.logger.Warn("promotion did not take effect", "member", candidate.Target, "term", promotion.Term)
}

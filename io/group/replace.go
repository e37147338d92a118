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
		g.logger.Warn("switchover delayed, an earlier owner may still serve the database")
		if _, active := g.scheduler.Primary(); !active {
			g.scheduler.SuspendPrimary(expectedPromotionTime)
		}
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
	candidate, term, found := c.elect(ctx, old, end)
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
	c.promote(ctx, candidate, term, old)
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
	m, listed := g.member(old)
	if !listed {
		return types.LogPosition{}
	}
	observed := g.probe(ctx, m, stmt.Statement{Kind: stmt.Status})
	if observed.err != nil {
		return types.LogPosition{}
	}
	return observed.status.Received.Max(observed.applied)
}

// elect returns the member with the longest log and the next term. It waits, for catchUpTimeout at most, for a member
// whose log reaches the given end; any log reaches a zero end.
func (c *failoverController) elect(ctx context.Context, old types.TargetID, end types.LogPosition) (routes.Member, types.Term, bool) {
	g := c.group
	deadline := g.settings.Clock.Now().Add(catchUpTimeout)
	for {
		observations := g.probeAll(ctx, c.otherMembers(old))
		best, found := longestLog(observations)
		if found && !c.electable(observations, best) {
			g.logger.Warn("no member is known to hold all acknowledged commits", "best", best.member.Target,
				"received", best.status.Received.String(), "seen", describeObservations(observations))
			return routes.Member{}, 0, false
		}
		term := g.currentTerm()
		for _, o := range observations {
			if o.err == nil {
				term = max(term, o.status.Term, o.status.PausedTerm)
			}
		}
		if p := g.settings.Ownership.RecordedPromotion(); p != nil {
			term = max(term, p.Term)
		}
		caughtUp := found && !best.status.Received.Before(end)
		if caughtUp || g.settings.Clock.Now() >= deadline {
			return best.member, term + 1, found
		}
		if !pause.For(ctx, 20*time.Millisecond) {
			return routes.Member{}, 0, false
		}
	}
}

// electable reports whether best, the member with the longest log, may be promoted.
func (c *failoverController) electable(observations []observation, best observation) bool {
	g := c.group
	election := place.Election{
		SyncReplicas: g.settings.SyncReplicas, Members: len(observations), LongestLog: best.status.Received,
		WithoutPrimary: g.settings.Clock.Since(c.lostAt),
	}
	for _, o := range observations {
		switch {
		case o.err == nil:
			election.Answered++
		case o.isBusy():
			election.Busy++
		}
	}
	g.mu.Lock()
	election.LastAcknowledged = g.acknowledgedPosition
	g.mu.Unlock()
	return election.CanPromote()
}

// longestLog returns the member with the longest log among those that answered. Members that are leaving are considered
// only when no other answered.
func longestLog(observations []observation) (observation, bool) {
	var best observation
	found := false
	for _, o := range observations {
		if o.err != nil {
			continue
		}
		if !found || best.member.Leaving && !o.member.Leaving ||
			best.member.Leaving == o.member.Leaving && best.status.Received.Before(o.status.Received) {
			best, found = o, true
		}
	}
	return best, found
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
func (c *failoverController) promote(ctx context.Context, candidate routes.Member, term types.Term, old types.TargetID) {
	g := c.group
	began := g.settings.Clock.Now()
	token, err := g.settings.Ownership.RecordPromotion(ctx, hold.Promotion{Target: candidate.Target, Term: term})
	if err != nil {
		g.logger.Warn("promotion not recorded", "member", candidate.Target, "term", term, "error", err)
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
	g.logger.Info("promotion requested", "member", candidate.Target, "term", term, "token", token, "old", old,
		"outcome", int(outcome), "error", err)
	if outcome == PromoteNotDone || outcome == PromoteRefused {
		pause.For(ctx, controllerInterval)
		return
	}
	c.awaitPromotion(ctx, candidate, term, began.Add(promotionTimeout))
	if m, known := g.lastEntry(old); known && old != candidate.Target {
		c.stepDown(m)
	}
}

// awaitPromotion makes the promoted member the active primary as soon as it reports that it is primary. The platform counts terms
// by promotions that took effect, so that after a refused one the member's term may be lower than the recorded one.
func (c *failoverController) awaitPromotion(ctx context.Context, candidate routes.Member, term types.Term, deadline clock.Moment) {
	g := c.group
	for g.settings.Clock.Now() < deadline {
		observed := g.probeOnIdleConn(ctx, candidate)
		if observed.err == nil && observed.status.Primary && observed.status.Term > g.currentTerm() && g.settings.Ownership.Lease().Valid() {
			c.openPrimary(observed)
			return
		}
		if !pause.For(ctx, 25*time.Millisecond) {
			return
		}
	}
	g.logger.Warn("promotion did not take effect", "member", candidate.Target, "term", term)
}

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
	// failover changes follow the loss of the primary.
	failover replacementKind = iota
	// switchover changes lose nothing: the primary is about to leave and works until then.
	switchover
)

// replacePrimary promotes the replica with the longest log.
func (s *failoverController) replacePrimary(ctx context.Context, why replacementKind) {
	g := s.group
	old, _ := g.scheduler.Primary()
	if why == switchover && !s.hasCandidate(old) {
		return
	}
	g.scheduler.SuspendPrimary(expectedPromotionTime)
	if s.lostAt == 0 {
		s.lostAt = g.settings.Clock.Now()
	}
	var end types.LogPosition
	if why == switchover {
		end = s.quiesce(ctx, old)
	}
	if p := g.pool(old); p != nil {
		p.closeAll()
	}
	candidate, term, found := s.elect(ctx, old, end)
	if !found {
		g.logger.Warn("no member can be promoted")
		pause.For(ctx, controllerInterval)
		return
	}
	if !g.settings.Ownership.MayPromote(ctx) {
		g.logger.Warn("promotion waits for the end of an earlier ownership")
		g.scheduler.SuspendPrimary(expectedPromotionTime)
		return
	}
	s.promote(ctx, candidate, term, old)
}

// hasCandidate reports whether a member other than the primary takes work.
func (s *failoverController) hasCandidate(old types.TargetID) bool {
	for _, m := range s.group.listMembers() {
		if m.Target != old && !m.Leaving {
			return true
		}
	}
	return false
}

// quiesce waits until the work in flight at a primary that leaves has ended, and returns the end of its log.
func (s *failoverController) quiesce(ctx context.Context, old types.TargetID) types.LogPosition {
	g := s.group
	until := g.settings.Clock.Now().Add(drainTimeout)
	for g.settings.Clock.Now() < until {
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
	seen := g.probe(ctx, m, stmt.Statement{Kind: stmt.Status})
	if seen.err != nil {
		return types.LogPosition{}
	}
	return seen.status.Received.Max(seen.applied)
}

// elect returns the member with the longest log and the next term. With an end it waits a moment for a member that
// holds the log up to there.
func (s *failoverController) elect(ctx context.Context, old types.TargetID, end types.LogPosition) (routes.Member, types.Term, bool) {
	g := s.group
	until := g.settings.Clock.Now().Add(catchUpTimeout)
	for {
		seen := g.probeAll(ctx, s.otherMembers(old))
		best, found := longestLog(seen)
		if found && !s.electable(seen, best) {
			g.logger.Warn("no member surely holds all acknowledged commits", "best", best.member.Target,
				"received", best.status.Received.String(), "seen", describeObservations(seen))
			return routes.Member{}, 0, false
		}
		term := g.currentTerm()
		for _, o := range seen {
			if o.err == nil {
				term = max(term, o.status.Term, o.status.PausedTerm)
			}
		}
		if p := g.settings.Ownership.RecordedPromotion(); p != nil {
			term = max(term, p.Term)
		}
		caughtUp := found && !best.status.Received.Before(end)
		if caughtUp || g.settings.Clock.Now() >= until {
			return best.member, term + 1, found
		}
		if !pause.For(ctx, 20*time.Millisecond) {
			return routes.Member{}, 0, false
		}
	}
}

// electable reports whether the member with the longest log may be promoted.
func (s *failoverController) electable(seen []observation, best observation) bool {
	g := s.group
	election := place.Election{
		SyncReplicas: g.settings.SyncReplicas, Members: len(seen), LongestLog: best.status.Received,
		WithoutPrimary: g.settings.Clock.Since(s.lostAt),
	}
	for _, o := range seen {
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

// longestLog returns the member with the longest log among those that answered and stay.
func longestLog(seen []observation) (observation, bool) {
	var best observation
	found := false
	for _, o := range seen {
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

// otherMembers returns the members but for the old primary.
func (s *failoverController) otherMembers(old types.TargetID) []routes.Member {
	var others []routes.Member
	for _, m := range s.group.listMembers() {
		if m.Target != old {
			others = append(others, m)
		}
	}
	return others
}

// promoteCallWindow is how long after the store's answer the call to promote may still be sent; a suspension in between ends
// the attempt, because a successor may have promoted meanwhile.
const promoteCallWindow = 500 * time.Millisecond

// promote records the intent, asks for the promotion and waits until it is in force.
func (s *failoverController) promote(ctx context.Context, candidate routes.Member, term types.Term, old types.TargetID) {
	g := s.group
	began := g.settings.Clock.Now()
	token, err := g.settings.Ownership.RecordPromotion(ctx, hold.Promotion{Target: candidate.Target, Term: term})
	if err != nil {
		g.logger.Warn("promotion not recorded", "member", candidate.Target, "term", term, "error", err)
		pause.For(ctx, controllerInterval)
		return
	}
	if g.settings.Clock.Since(began) > promoteCallWindow+promoteCallTimeout || !g.settings.Ownership.Lease().Valid() {
		g.logger.Warn("promotion given up, the record took too long", "member", candidate.Target)
		return
	}
	call, cancel := context.WithTimeout(ctx, promoteCallTimeout)
	outcome, err := g.settings.Promoter.Promote(call, g.settings.Database, candidate.Target, token)
	cancel()
	g.logger.Info("promotion asked for", "member", candidate.Target, "term", term, "token", token, "old", old,
		"outcome", int(outcome), "error", err)
	if outcome == PromoteNotDone || outcome == PromoteRefused {
		pause.For(ctx, controllerInterval)
		return
	}
	s.awaitPromotion(ctx, candidate, term, began.Add(promotionTimeout))
	if m, listed := g.member(old); listed && old != candidate.Target {
		s.stepDown(m)
	}
}

// awaitPromotion opens the promoted member as soon as it says that it is primary.
func (s *failoverController) awaitPromotion(ctx context.Context, candidate routes.Member, term types.Term, until clock.Moment) {
	g := s.group
	for g.settings.Clock.Now() < until {
		seen := g.probeOnIdleConn(ctx, candidate)
		if seen.err == nil && seen.status.Primary && seen.status.Term >= term && g.settings.Ownership.Lease().Valid() {
			s.openPrimary(seen)
			return
		}
		if !pause.For(ctx, 25*time.Millisecond) {
			return
		}
	}
	g.logger.Warn("promotion did not take effect", "member", candidate.Target, "term", term)
}

package group

import (
	"context"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/pause"
	"turmericpulley/core/routes"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
)

// failoverController watches the members of one database and finds, opens and replaces its primary.
type failoverController struct {
	group *Group
	// lostAt is when no primary was to be found first.
	lostAt clock.Moment
	// queriedAt is when each member was asked for its status last.
	queriedAt map[types.TargetID]clock.Moment
}

func (s *failoverController) run(ctx context.Context) {
	s.queriedAt = map[types.TargetID]clock.Moment{}
	ticker := time.NewTicker(controllerInterval)
	defer ticker.Stop()
	for {
		s.reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.group.wakeups:
		}
	}
}

// reconcile does what the present state asks for.
func (s *failoverController) reconcile(ctx context.Context) {
	g := s.group
	if g.draining.Load() || len(g.listMembers()) == 0 || !g.settings.Ownership.Lease().Valid() {
		return
	}
	primary, open := g.scheduler.Primary()
	if !open {
		s.findPrimary(ctx)
		return
	}
	member, listed := g.member(primary)
	switch suspected := g.takeSuspected(); {
	case suspected == primary || !listed:
		s.verifyPrimary(ctx, primary)
	case member.Leaving:
		s.replacePrimary(ctx, switchover)
	case suspected != "":
		s.checkReplica(ctx, suspected)
	default:
		s.checkMembers(ctx)
	}
}

func (g *Group) takeSuspected() types.TargetID {
	g.mu.Lock()
	defer g.mu.Unlock()
	suspected := g.suspected
	g.suspected = ""
	return suspected
}

// missingPrimaryTimeout is how long a primary that nobody can find may stay away before another is made; a takeover
// that coincides with a short cut should not cost a promotion.
const missingPrimaryTimeout = 500 * time.Millisecond

// firstPrimaryTimeout is the same for an owner that has not seen the primary yet: after an outage of the store the
// members' entries are complete only two seconds after its return.
const firstPrimaryTimeout = 2500 * time.Millisecond

// findPrimary looks for the primary of the highest term and opens it.
func (s *failoverController) findPrimary(ctx context.Context) {
	g := s.group
	now := g.settings.Clock.Now()
	if s.lostAt == 0 {
		s.lostAt = now
	}
	seen := g.probeAll(ctx, g.listMembers())
	best, found := s.highestTermPrimary(seen)
	if found {
		s.openPrimary(best)
		return
	}
	patience := missingPrimaryTimeout
	if g.currentTerm() == 0 {
		patience = firstPrimaryTimeout
	}
	if g.settings.Clock.Since(s.lostAt) > patience {
		s.replacePrimary(ctx, failover)
	}
}

// highestTermPrimary returns the primary of the highest term; one of a lower term than a recorded promotion has been replaced.
func (s *failoverController) highestTermPrimary(seen []observation) (observation, bool) {
	var best observation
	found := false
	var known types.Term
	for _, o := range seen {
		if o.err != nil {
			continue
		}
		known = max(known, o.status.Term)
		if o.status.Primary && (!found || o.status.Term > best.status.Term) {
			best, found = o, true
		}
	}
	if !found || best.status.Term < known {
		return best, false
	}
	if p := s.group.settings.Ownership.RecordedPromotion(); p != nil && best.status.Term < p.Term {
		return best, s.promotionFailed(p.Target, seen)
	}
	return best, true
}

// promotionFailed reports whether the member of a recorded promotion is surely still a replica: the call to promote was
// over long before, or it says so itself after the time that a promotion takes.
func (s *failoverController) promotionFailed(target types.TargetID, seen []observation) bool {
	if s.group.settings.Clock.Since(s.lostAt) < promotionTimeout {
		return false
	}
	for _, o := range seen {
		if o.member.Target == target {
			return o.err == nil && !o.status.Primary
		}
	}
	_, listed := s.group.member(target)
	return !listed
}

// openPrimary lets work go to the primary.
func (s *failoverController) openPrimary(o observation) {
	g := s.group
	g.mu.Lock()
	g.primary, g.term = o.member.Target, o.status.Term
	g.mu.Unlock()
	s.lostAt = 0
	g.setUsable(o.member.Target, true, "primary found")
	g.updateScheduler()
	g.scheduler.SetPrimary(o.member.Target, o.status.Term, o.applied, o.queriedAt)
	g.logger.Info("primary open", "member", o.member.Target, "term", o.status.Term, "position", o.applied.String(),
		"epoch", g.settings.Ownership.Lease().Epoch())
}

// verifyAttempts is the number of fresh connections that must fail before a primary counts as dead.
const verifyAttempts = 3

// verifyRetryDelay is the time between two of them when they fail at once.
const verifyRetryDelay = 80 * time.Millisecond

// verifyPrimary asks a suspected primary over fresh connections and replaces it when none is answered.
func (s *failoverController) verifyPrimary(ctx context.Context, primary types.TargetID) {
	g := s.group
	member, listed := g.member(primary)
	if !listed {
		g.logger.Warn("primary left", "member", primary)
		g.scheduler.SuspendPrimary(expectedPromotionTime)
		s.replacePrimary(ctx, failover)
		return
	}
	var last error
	for attempt := range verifyAttempts {
		if attempt > 0 && !pause.For(ctx, verifyRetryDelay) {
			return
		}
		seen := g.probe(ctx, member, stmt.Statement{Kind: stmt.Status})
		if seen.err == nil {
			s.handlePrimaryStatus(ctx, seen)
			return
		}
		if seen.isBusy() {
			return
		}
		last = seen.err
	}
	g.logger.Warn("primary dead", "member", primary, "reason", last)
	g.scheduler.SuspendPrimary(expectedPromotionTime)
	if s.handOver(ctx, member) {
		return
	}
	g.settings.RefreshMembers()
	s.replacePrimary(ctx, failover)
}

// handOver hands the database to an instance that still reaches the primary: a cut between this instance and the primary
// then costs neither a promotion nor the commits that no replica has received.
func (s *failoverController) handOver(ctx context.Context, primary routes.Member) bool {
	g := s.group
	if g.settings.Witness == nil {
		return false
	}
	to, seen := g.settings.Witness(ctx, primary, g.currentTerm())
	if !seen {
		return false
	}
	g.logger.Info("primary reached by another instance", "member", primary.Target, "witness", to)
	g.settings.HandOver(ctx, to)
	return true
}

// handlePrimaryStatus takes the answer of a suspected primary.
func (s *failoverController) handlePrimaryStatus(ctx context.Context, seen observation) {
	g := s.group
	if seen.status.Primary && seen.status.Term >= g.currentTerm() {
		g.scheduler.RecordPrimaryPosition(seen.member.Target, seen.applied, seen.queriedAt)
		return
	}
	g.logger.Warn("primary lost the lead", "member", seen.member.Target, "term", seen.status.Term)
	g.scheduler.SuspendPrimary(expectedPromotionTime)
	s.lostAt = g.settings.Clock.Now()
	s.findPrimary(ctx)
}

// checkReplica asks a suspected replica.
func (s *failoverController) checkReplica(ctx context.Context, target types.TargetID) {
	if m, listed := s.group.member(target); listed {
		s.recordObservation(s.group.probe(ctx, m, stmt.Statement{Kind: stmt.Status}))
	}
}

// recordObservation takes what a member that is not the primary said.
func (s *failoverController) recordObservation(seen observation) {
	g := s.group
	if seen.err != nil && !seen.isBusy() {
		g.setUsable(seen.member.Target, false, seen.err.Error())
		return
	}
	if !seen.applied.IsZero() {
		g.scheduler.RecordReplicaPosition(seen.member.Target, seen.applied)
	}
	if seen.err == nil && seen.status.Primary && seen.status.Term < g.currentTerm() {
		s.stepDown(seen.member)
	}
	g.setUsable(seen.member.Target, true, "answers")
}

// checkMembers asks the members of which nothing was heard for a while.
func (s *failoverController) checkMembers(ctx context.Context) {
	g := s.group
	now := g.settings.Clock.Now()
	for _, m := range g.listMembers() {
		heard, known := g.scheduler.LastContact(m.Target)
		if known && now.Sub(heard) < maxContactAge || now.Sub(s.queriedAt[m.Target]) < maxContactAge {
			continue
		}
		s.queriedAt[m.Target] = now
		g.running.Go(func() { s.checkMember(ctx, m) })
	}
}

// checkMember asks one member for its status.
func (s *failoverController) checkMember(ctx context.Context, m routes.Member) {
	g := s.group
	seen := g.probeOnIdleConn(ctx, m)
	if primary, _ := g.scheduler.Primary(); m.Target != primary {
		s.recordObservation(seen)
		return
	}
	if seen.err != nil || !seen.status.Primary {
		g.suspect(m.Target)
		return
	}
	if g.settings.Ownership.Lease().Valid() {
		g.scheduler.RecordPrimaryPosition(m.Target, seen.applied, seen.queriedAt)
	}
}

// stepDown tells a primary of an earlier term that it was replaced.
func (s *failoverController) stepDown(m routes.Member) {
	g := s.group
	term := g.currentTerm()
	g.running.Go(func() {
		seen := g.probe(context.Background(), m, stmt.Statement{Kind: stmt.StepDown, Term: term})
		g.logger.Info("old primary told to step down", "member", m.Target, "term", term, "error", seen.err)
	})
}

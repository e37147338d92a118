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

// steward watches the members of one database and finds, opens and replaces its primary.
type steward struct {
	group *Group
	// lost is when no primary was to be found first.
	lost clock.Moment
	// asked is when each member was asked for its status last.
	asked map[types.TargetID]clock.Moment
}

func (s *steward) run(ctx context.Context) {
	s.asked = map[types.TargetID]clock.Moment{}
	ticker := time.NewTicker(stewardInterval)
	defer ticker.Stop()
	for {
		s.look(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.group.kicks:
		}
	}
}

// look does what the present state asks for.
func (s *steward) look(ctx context.Context) {
	g := s.group
	if g.retired.Load() || len(g.list()) == 0 || !g.settings.Ownership.Authority().Valid() {
		return
	}
	primary, open := g.desk.Primary()
	if !open {
		s.discover(ctx)
		return
	}
	member, listed := g.member(primary)
	switch suspected := g.takeSuspect(); {
	case suspected == primary || !listed:
		s.verify(ctx, primary)
	case member.Leaving:
		s.replace(ctx, planned)
	case suspected != "":
		s.check(ctx, suspected)
	default:
		s.patrol(ctx)
	}
}

func (g *Group) takeSuspect() types.TargetID {
	g.mu.Lock()
	defer g.mu.Unlock()
	suspected := g.suspected
	g.suspected = ""
	return suspected
}

// patienceWithoutPrimary is how long a primary that nobody can find may stay away before another is made; a takeover
// that coincides with a short cut should not cost a promotion.
const patienceWithoutPrimary = 500 * time.Millisecond

// patienceOfNewcomer is the same for an owner that has not seen the primary yet: after an outage of the store the
// members' entries are complete only two seconds after its return.
const patienceOfNewcomer = 2500 * time.Millisecond

// discover looks for the primary of the highest term and opens it.
func (s *steward) discover(ctx context.Context) {
	g := s.group
	now := g.settings.Clock.Now()
	if s.lost == 0 {
		s.lost = now
	}
	seen := g.probeAll(ctx, g.list())
	best, found := s.highest(seen)
	if found {
		s.open(best)
		return
	}
	patience := patienceWithoutPrimary
	if g.currentTerm() == 0 {
		patience = patienceOfNewcomer
	}
	if g.settings.Clock.Since(s.lost) > patience {
		s.replace(ctx, unplanned)
	}
}

// highest returns the primary of the highest term; one of a lower term than a recorded promotion has been replaced.
func (s *steward) highest(seen []sighting) (sighting, bool) {
	var best sighting
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
	if p := s.group.settings.Ownership.Intended(); p != nil && best.status.Term < p.Term {
		return best, s.promotionFailed(p.Target, seen)
	}
	return best, true
}

// promotionFailed reports whether the member of a recorded promotion is surely still a replica: the call to promote was
// over long before, or it says so itself after the time that a promotion takes.
func (s *steward) promotionFailed(target types.TargetID, seen []sighting) bool {
	if s.group.settings.Clock.Since(s.lost) < promoteLimit {
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

// open lets work go to the primary.
func (s *steward) open(o sighting) {
	g := s.group
	g.mu.Lock()
	g.primary, g.term = o.member.Target, o.status.Term
	g.mu.Unlock()
	s.lost = 0
	g.setUsable(o.member.Target, true, "primary found")
	g.seat()
	g.desk.Open(o.member.Target, o.status.Term, o.applied, o.asked)
	g.logger.Info("primary open", "member", o.member.Target, "term", o.status.Term, "position", o.applied.String(),
		"epoch", g.settings.Ownership.Authority().Epoch())
}

// verifyAttempts is the number of fresh connections that must fail before a primary counts as dead.
const verifyAttempts = 3

// verifyPause is the time between two of them when they fail at once.
const verifyPause = 80 * time.Millisecond

// verify asks a suspected primary over fresh connections and replaces it when none is answered.
func (s *steward) verify(ctx context.Context, primary types.TargetID) {
	g := s.group
	member, listed := g.member(primary)
	if !listed {
		g.logger.Warn("primary left", "member", primary)
		g.desk.Shut(promoteWait)
		s.replace(ctx, unplanned)
		return
	}
	var last error
	for attempt := range verifyAttempts {
		if attempt > 0 && !pause.For(ctx, verifyPause) {
			return
		}
		seen := g.probe(ctx, member, stmt.Statement{Kind: stmt.Status})
		if seen.err == nil {
			s.verified(ctx, seen)
			return
		}
		if seen.busy() {
			return
		}
		last = seen.err
	}
	g.logger.Warn("primary dead", "member", primary, "reason", last)
	g.desk.Shut(promoteWait)
	if s.yield(ctx, member) {
		return
	}
	g.settings.Refresh()
	s.replace(ctx, unplanned)
}

// yield hands the database to an instance that still reaches the primary: a cut between this instance and the primary
// then costs neither a promotion nor the commits that no replica has received.
func (s *steward) yield(ctx context.Context, primary routes.Member) bool {
	g := s.group
	if g.settings.Witness == nil {
		return false
	}
	to, seen := g.settings.Witness(ctx, primary, g.currentTerm())
	if !seen {
		return false
	}
	g.logger.Info("primary reached by another instance", "member", primary.Target, "witness", to)
	g.settings.Yield(ctx, to)
	return true
}

// verified takes the answer of a suspected primary.
func (s *steward) verified(ctx context.Context, seen sighting) {
	g := s.group
	if seen.status.Primary && seen.status.Term >= g.currentTerm() {
		g.desk.NotePrimary(seen.member.Target, seen.applied, seen.asked)
		return
	}
	g.logger.Warn("primary lost the lead", "member", seen.member.Target, "term", seen.status.Term)
	g.desk.Shut(promoteWait)
	s.lost = g.settings.Clock.Now()
	s.discover(ctx)
}

// check asks a suspected replica.
func (s *steward) check(ctx context.Context, target types.TargetID) {
	if m, listed := s.group.member(target); listed {
		s.sight(s.group.probe(ctx, m, stmt.Statement{Kind: stmt.Status}))
	}
}

// sight takes what a member that is not the primary said.
func (s *steward) sight(seen sighting) {
	g := s.group
	if seen.err != nil && !seen.busy() {
		g.setUsable(seen.member.Target, false, seen.err.Error())
		return
	}
	if !seen.applied.IsZero() {
		g.desk.NoteReplica(seen.member.Target, seen.applied)
	}
	if seen.err == nil && seen.status.Primary && seen.status.Term < g.currentTerm() {
		s.stepDown(seen.member)
	}
	g.setUsable(seen.member.Target, true, "answers")
}

// patrol asks the members of which nothing was heard for a while.
func (s *steward) patrol(ctx context.Context) {
	g := s.group
	now := g.settings.Clock.Now()
	for _, m := range g.list() {
		heard, known := g.desk.Quiet(m.Target)
		if known && now.Sub(heard) < quietLimit || now.Sub(s.asked[m.Target]) < quietLimit {
			continue
		}
		s.asked[m.Target] = now
		g.running.Go(func() { s.visit(ctx, m) })
	}
}

// visit asks one member for its status.
func (s *steward) visit(ctx context.Context, m routes.Member) {
	g := s.group
	seen := g.glance(ctx, m)
	if primary, _ := g.desk.Primary(); m.Target != primary {
		s.sight(seen)
		return
	}
	if seen.err != nil || !seen.status.Primary {
		g.suspect(m.Target)
		return
	}
	if g.settings.Ownership.Authority().Valid() {
		g.desk.NotePrimary(m.Target, seen.applied, seen.asked)
	}
}

// stepDown tells a primary of an earlier term that it was replaced.
func (s *steward) stepDown(m routes.Member) {
	g := s.group
	term := g.currentTerm()
	g.running.Go(func() {
		seen := g.probe(context.Background(), m, stmt.Statement{Kind: stmt.StepDown, Term: term})
		g.logger.Info("old primary told to step down", "member", m.Target, "term", term, "error", seen.err)
	})
}

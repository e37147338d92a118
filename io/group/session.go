package group

import (
	"context"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/fault"
	"turmericpulley/core/place"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
)

// Session is a caller's session at the owner; it is used by one goroutine.
type Session struct {
	group  *Group
	values map[string]string
	pinned *pinned
}

// pinned is the connection of an open transaction.
type pinned struct {
	conn    *pooled
	pool    *pool
	target  types.TargetID
	primary bool
}

// NewSession returns a session without values.
func (g *Group) NewSession() *Session { return &Session{group: g, values: map[string]string{}} }

// Close ends the session and rolls back what is open.
func (s *Session) Close() { s.abandon() }

// InTransaction reports whether a transaction is open.
func (s *Session) InTransaction() bool { return s.pinned != nil }

// Do runs one statement and returns the answer for the caller; ErrNotOwner means that nothing ran.
func (s *Session) Do(w Work) (stmt.Reply, error) {
	if w.Values != nil {
		s.values = w.Values
	}
	switch {
	case w.Abandon:
		s.abandon()
		return stmt.Reply{}, nil
	case w.Continues():
		return s.continued(w), nil
	default:
		return s.fresh(w)
	}
}

// fresh runs a statement outside of a transaction, or the first of one.
func (s *Session) fresh(w Work) (stmt.Reply, error) {
	g := s.group
	now := g.settings.Clock.Now()
	need := place.Need{
		Class: w.Class, Priority: w.Priority, Objective: now.Add(w.Objective), Deadline: now.Add(w.Limit),
		Opens: w.Begins(),
	}
	g.budget.Earn()
	var last stmt.Reply
	for attempt := range maxAttempts {
		if !g.settings.Ownership.Authority().Valid() {
			return stmt.Reply{}, ErrNotOwner
		}
		need.Replicas = false
		if w.Replicas && attempt < maxAttempts-1 {
			need.Floor, need.Replicas = g.desk.Floor(w.MaxAge, w.Own)
		}
		grant, err := g.desk.Acquire(need)
		if err != nil {
			if f := fault.From(err); f != nil && f.Kind == fault.NoOwner {
				return stmt.Reply{}, ErrNotOwner
			}
			return s.refused(w, need, err, last), nil
		}
		reply, run := s.attempt(w, grant, need)
		if run == ended {
			return reply, nil
		}
		last = reply
		if run == lost && !w.Repeatable() {
			g.requests.Warn("outcome unknown", "request", w.Statement.ID, "member", grant.Target, "reason", reply.Text)
			return stmt.Fail(stmt.OutcomeUnknown, "the answer of member "+string(grant.Target)+" is missing: "+reply.Text), nil
		}
		need.Avoid = grant.Target
		if g.settings.Clock.Now() >= need.Deadline || attempt > 0 && !g.budget.Spend() {
			break
		}
		g.requests.Debug("statement tried again", "request", w.Statement.ID, "member", grant.Target, "reason", reply.Text, "code", reply.Code)
	}
	return s.givenUp(w, last), nil
}

// refused answers a statement that no member was asked to run.
func (s *Session) refused(w Work, need place.Need, err error, last stmt.Reply) stmt.Reply {
	text := err.Error()
	if f := fault.From(err); f != nil {
		text = string(f.Kind) + ": " + text
		if f.RetryAfter > 0 {
			text += "; come back in " + f.RetryAfter.Round(time.Millisecond).String()
		}
	}
	s.group.requests.Info("request refused", "request", w.Statement.ID, "reason", text, "before", last.Text,
		"class", w.Class, "maxAge", w.MaxAge.String(), "state", s.group.desk.Describe(need))
	return s.failed(w, stmt.Overloaded, text)
}

// givenUp answers a statement that did not succeed in its attempts and has had no lasting effect.
func (s *Session) givenUp(w Work, last stmt.Reply) stmt.Reply {
	s.group.requests.Info("request given up", "request", w.Statement.ID, "code", last.Code, "reason", last.Text)
	if last.Code == stmt.Failed || last.Code == stmt.TimedOut {
		return s.failed(w, last.Code, last.Text)
	}
	return s.failed(w, stmt.RolledBack, "nothing is kept of the attempts at members: "+last.Text)
}

func (s *Session) failed(w Work, code stmt.Code, text string) stmt.Reply {
	r := stmt.Fail(code, text)
	if w.Inside {
		r.State = stmt.Broken
	}
	return r
}

// runEnd says what became of an attempt.
type runEnd int

const (
	// ended attempts have an answer for the caller.
	ended runEnd = iota
	// notRun attempts had no effect.
	notRun
	// lost attempts may have run.
	lost
)

// attempt sends the statement to the member of the grant.
func (s *Session) attempt(w Work, grant *place.Grant, need place.Need) (stmt.Reply, runEnd) {
	g := s.group
	limit := g.settings.Clock.Until(need.Deadline)
	if w.Repeatable() {
		limit = min(limit, max(minAttempt, attemptFactor*g.desk.Expected(need.Class)))
	}
	deadline := time.Now().Add(limit)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	p := g.pool(grant.Target)
	if p == nil {
		g.desk.Release(grant, 0, false)
		return stmt.Fail(stmt.Overloaded, "the member has left"), notRun
	}
	conn, err := p.get(ctx, s.values)
	if err != nil {
		g.desk.Release(grant, 0, false)
		g.suspect(grant.Target)
		return stmt.Fail(stmt.Overloaded, err.Error()), notRun
	}
	var open []stmt.Statement
	after := need.Floor
	if grant.Primary || !need.Replicas {
		after = types.LogPosition{}
	}
	if w.Opens {
		open = append(open, stmt.Statement{Kind: stmt.Begin})
	}
	if w.OpensRead {
		open = append(open, stmt.Statement{Kind: stmt.BeginRead, After: after})
	}
	if r, ok := conn.ready(deadline, s.values, w.Statement, open...); !ok {
		s.unfit(grant, p, conn, r)
		return r, notRun
	}
	if grant.Primary && !g.settings.Ownership.Authority().Valid() {
		s.discard(grant, p, conn)
		return stmt.Fail(stmt.Overloaded, "the ownership ended"), notRun
	}
	return s.send(w, grant, p, conn, after, deadline)
}

// discard gives back the grant of an attempt whose connection is of no more use.
func (s *Session) discard(grant *place.Grant, p *pool, conn *pooled) {
	p.drop(conn)
	s.group.desk.Release(grant, 0, false)
}

// unfit returns a connection that could not be made ready.
func (s *Session) unfit(grant *place.Grant, p *pool, conn *pooled, r stmt.Reply) {
	g := s.group
	if r.Code == stmt.Behind {
		g.desk.NoteReplica(grant.Target, r.Position)
	}
	s.discard(grant, p, conn)
	if r.Code != stmt.Behind {
		g.suspect(grant.Target)
	}
}

// send runs the statement on a connection that is ready for it.
func (s *Session) send(w Work, grant *place.Grant, p *pool, conn *pooled, after types.LogPosition, deadline time.Time) (stmt.Reply, runEnd) {
	g := s.group
	statement := named(w.Statement)
	if !w.Begins() && w.Statement.Reads() {
		statement.After = after
	}
	asked := g.settings.Clock.Now()
	replies, err := conn.conn.Exchange(deadline, statement)
	if err != nil {
		g.desk.Blame(grant.Target)
		s.discard(grant, p, conn)
		p.condemn()
		g.suspect(grant.Target)
		return stmt.Fail(stmt.Overloaded, err.Error()), lost
	}
	r := replies[0]
	valid := g.settings.Ownership.Authority().Valid()
	s.learn(grant, r, asked, valid)
	if grant.Primary && !valid {
		s.discard(grant, p, conn)
		return stmt.Fail(stmt.RolledBack, "the ownership ended before the answer"), lost
	}
	if r.Code != stmt.OK {
		return s.unsuccessful(w, grant, p, conn, r)
	}
	if w.Statement.Writes() {
		g.acknowledge(r.Position)
	}
	g.desk.Release(grant, g.settings.Clock.Since(asked), w.Begins())
	if w.Begins() {
		s.pinned = &pinned{conn: conn, pool: p, target: grant.Target, primary: grant.Primary}
		return s.afterInside(w, r), ended
	}
	p.put(conn)
	return r, ended
}

// learn takes the position that came with an answer.
func (s *Session) learn(grant *place.Grant, r stmt.Reply, asked clock.Moment, valid bool) {
	if r.Position.IsZero() {
		return
	}
	if !grant.Primary {
		s.group.desk.NoteReplica(grant.Target, r.Position)
		return
	}
	if valid && r.Code != stmt.ReadOnly {
		s.group.desk.NotePrimary(grant.Target, r.Position, asked)
	}
}

// unsuccessful handles a member's refusal or failure of a fresh statement.
func (s *Session) unsuccessful(w Work, grant *place.Grant, p *pool, conn *pooled, r stmt.Reply) (stmt.Reply, runEnd) {
	g := s.group
	if w.Begins() || r.State != stmt.Idle || r.Code == stmt.UnknownStatement {
		p.drop(conn)
	} else {
		p.put(conn)
	}
	if r.Code == stmt.Failed || r.Code == stmt.TimedOut {
		g.desk.Blame(grant.Target)
	}
	g.desk.Release(grant, 0, false)
	if r.Code == stmt.ReadOnly || r.Code == stmt.Elsewhere {
		g.suspect(grant.Target)
	}
	r.State = stmt.Idle
	if r.Code.NotRun() {
		return r, notRun
	}
	if r.Code == stmt.Failed && w.Repeatable() {
		return r, notRun
	}
	if w.Inside {
		r.State = stmt.Broken
	}
	g.requests.Info("request failed at member", "request", w.Statement.ID, "member", grant.Target, "code", r.Code, "reason", r.Text)
	return r, ended
}

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
	pinned *pinnedConn
}

// pinnedConn is the connection of an open transaction.
type pinnedConn struct {
	conn    *pooledConn
	pool    *pool
	target  types.TargetID
	primary bool
}

// NewSession returns a session without values.
func (g *Group) NewSession() *Session { return &Session{group: g, values: map[string]string{}} }

// Close ends the session and rolls back what is open.
func (s *Session) Close() { s.rollbackAsync() }

// InTransaction reports whether a transaction is open.
func (s *Session) InTransaction() bool { return s.pinned != nil }

// Do runs one statement and returns the answer for the caller; ErrNotOwner means that nothing ran.
func (s *Session) Do(w Request) (stmt.Reply, error) {
	if w.Values != nil {
		s.values = w.Values
	}
	switch {
	case w.Rollback:
		s.rollbackAsync()
		return stmt.Reply{}, nil
	case w.Continues():
		return s.runPinned(w), nil
	default:
		return s.runUnpinned(w)
	}
}

// runUnpinned runs a statement outside of a transaction, or the first of one.
func (s *Session) runUnpinned(w Request) (stmt.Reply, error) {
	g := s.group
	now := g.settings.Clock.Now()
	need := place.SlotRequest{
		Class: w.Class, Priority: w.Priority, Objective: now.Add(w.Objective), Deadline: now.Add(w.Timeout),
		BeginsTransaction: w.Begins(),
	}
	g.retryBudget.RecordRequest()
	var last stmt.Reply
	for attempt := range maxAttempts {
		if !g.settings.Ownership.Lease().Valid() {
			return stmt.Reply{}, ErrNotOwner
		}
		need.AllowReplicas = false
		if w.AllowReplicas && attempt < maxAttempts-1 {
			need.MinPosition, need.AllowReplicas = g.scheduler.MinPosition(w.MaxAge, w.LastCommit)
		}
		grant, err := g.scheduler.Acquire(need)
		if err != nil {
			if f := fault.From(err); f != nil && f.Kind == fault.NoOwner {
				return stmt.Reply{}, ErrNotOwner
			}
			return s.refusedReply(w, need, err, last), nil
		}
		reply, run := s.attempt(w, grant, need)
		if run == outcomeFinal {
			return reply, nil
		}
		last = reply
		if run == outcomeUnknown && !w.Retryable() {
			g.requestLogger.Warn("outcome unknown", "request", w.Statement.ID, "member", grant.Target, "reason", reply.Text)
			return stmt.Failure(stmt.OutcomeUnknown, "the answer of member "+string(grant.Target)+" is missing: "+reply.Text), nil
		}
		need.Avoid = grant.Target
		if g.settings.Clock.Now() >= need.Deadline || attempt > 0 && !g.retryBudget.AllowRetry() {
			break
		}
		g.requestLogger.Debug("statement tried again", "request", w.Statement.ID, "member", grant.Target, "reason", reply.Text, "code", reply.Code)
	}
	return s.gaveUpReply(w, last), nil
}

// refusedReply answers a statement that no member was asked to run.
func (s *Session) refusedReply(w Request, need place.SlotRequest, err error, last stmt.Reply) stmt.Reply {
	text := err.Error()
	if f := fault.From(err); f != nil {
		text = string(f.Kind) + ": " + text
		if f.RetryAfter > 0 {
			text += "; come back in " + f.RetryAfter.Round(time.Millisecond).String()
		}
	}
	s.group.requestLogger.Info("request refused", "request", w.Statement.ID, "reason", text, "before", last.Text,
		"class", w.Class, "maxAge", w.MaxAge.String(), "state", s.group.scheduler.Describe(need))
	return s.failureReply(w, stmt.Overloaded, text)
}

// gaveUpReply answers a statement that did not succeed in its attempts and has had no lasting effect.
func (s *Session) gaveUpReply(w Request, last stmt.Reply) stmt.Reply {
	s.group.requestLogger.Info("request given up", "request", w.Statement.ID, "code", last.Code, "reason", last.Text)
	if last.Code == stmt.Failed || last.Code == stmt.TimedOut {
		return s.failureReply(w, last.Code, last.Text)
	}
	return s.failureReply(w, stmt.RolledBack, "nothing is kept of the attempts at members: "+last.Text)
}

func (s *Session) failureReply(w Request, code stmt.Code, text string) stmt.Reply {
	r := stmt.Failure(code, text)
	if w.InTransaction {
		r.State = stmt.InFailedTransaction
	}
	return r
}

// attemptOutcome says what became of an attempt.
type attemptOutcome int

const (
	// outcomeFinal attempts have an answer for the caller.
	outcomeFinal attemptOutcome = iota
	// outcomeNotRun attempts had no effect.
	outcomeNotRun
	// outcomeUnknown attempts may have run.
	outcomeUnknown
)

// attempt sends the statement to the member of the grant.
func (s *Session) attempt(w Request, grant *place.Grant, need place.SlotRequest) (stmt.Reply, attemptOutcome) {
	g := s.group
	limit := g.settings.Clock.Until(need.Deadline)
	if w.Retryable() {
		limit = min(limit, max(minAttemptTimeout, attemptTimeoutFactor*g.scheduler.ExpectedServiceTime(need.Class)))
	}
	deadline := time.Now().Add(limit)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	p := g.pool(grant.Target)
	if p == nil {
		g.scheduler.Release(grant, 0, false)
		return stmt.Failure(stmt.Overloaded, "the member has left"), outcomeNotRun
	}
	conn, err := p.get(ctx, s.values)
	if err != nil {
		g.scheduler.Release(grant, 0, false)
		g.suspect(grant.Target)
		return stmt.Failure(stmt.Overloaded, err.Error()), outcomeNotRun
	}
	var open []stmt.Statement
	after := need.MinPosition
	if grant.Primary || !need.AllowReplicas {
		after = types.LogPosition{}
	}
	if w.BeginsReadWrite {
		open = append(open, stmt.Statement{Kind: stmt.Begin})
	}
	if w.BeginsReadOnly {
		open = append(open, stmt.Statement{Kind: stmt.BeginRead, MinPosition: after})
	}
	if r, ok := conn.setUp(deadline, s.values, w.Statement, open...); !ok {
		s.handleSetupFailure(grant, p, conn, r)
		return r, outcomeNotRun
	}
	if grant.Primary && !g.settings.Ownership.Lease().Valid() {
		s.discardAttempt(grant, p, conn)
		return stmt.Failure(stmt.Overloaded, "the ownership ended"), outcomeNotRun
	}
	return s.send(w, grant, p, conn, after, deadline)
}

// discardAttempt gives back the grant of an attempt whose connection is of no more use.
func (s *Session) discardAttempt(grant *place.Grant, p *pool, conn *pooledConn) {
	p.discard(conn)
	s.group.scheduler.Release(grant, 0, false)
}

// handleSetupFailure returns a connection that could not be made ready.
func (s *Session) handleSetupFailure(grant *place.Grant, p *pool, conn *pooledConn, r stmt.Reply) {
	g := s.group
	if r.Code == stmt.Behind {
		g.scheduler.RecordReplicaPosition(grant.Target, r.Position)
	}
	s.discardAttempt(grant, p, conn)
	if r.Code != stmt.Behind {
		g.suspect(grant.Target)
	}
}

// send runs the statement on a connection that is ready for it.
func (s *Session) send(w Request, grant *place.Grant, p *pool, conn *pooledConn, after types.LogPosition, deadline time.Time) (stmt.Reply, attemptOutcome) {
	g := s.group
	statement := withPreparedName(w.Statement)
	if !w.Begins() && w.Statement.Reads() {
		statement.MinPosition = after
	}
	asked := g.settings.Clock.Now()
	replies, err := conn.conn.Exchange(deadline, statement)
	if err != nil {
		g.scheduler.ReportFailure(grant.Target)
		s.discardAttempt(grant, p, conn)
		p.closeIdle()
		g.suspect(grant.Target)
		return stmt.Failure(stmt.Overloaded, err.Error()), outcomeUnknown
	}
	r := replies[0]
	valid := g.settings.Ownership.Lease().Valid()
	s.recordPosition(grant, r, asked, valid)
	if grant.Primary && !valid {
		s.discardAttempt(grant, p, conn)
		return stmt.Failure(stmt.RolledBack, "the ownership ended before the answer"), outcomeUnknown
	}
	if r.Code != stmt.OK {
		return s.handleFailure(w, grant, p, conn, r)
	}
	if w.Statement.Writes() {
		g.recordCommit(r.Position)
	}
	g.scheduler.Release(grant, g.settings.Clock.Since(asked), w.Begins())
	if w.Begins() {
		s.pinned = &pinnedConn{conn: conn, pool: p, target: grant.Target, primary: grant.Primary}
		return s.finishPinned(w, r), outcomeFinal
	}
	p.put(conn)
	return r, outcomeFinal
}

// recordPosition takes the position that came with an answer.
func (s *Session) recordPosition(grant *place.Grant, r stmt.Reply, asked clock.Moment, valid bool) {
	if r.Position.IsZero() {
		return
	}
	if !grant.Primary {
		s.group.scheduler.RecordReplicaPosition(grant.Target, r.Position)
		return
	}
	if valid && r.Code != stmt.ReadOnly {
		s.group.scheduler.RecordPrimaryPosition(grant.Target, r.Position, asked)
	}
}

// handleFailure handles a member's refusal or failure of a fresh statement.
func (s *Session) handleFailure(w Request, grant *place.Grant, p *pool, conn *pooledConn, r stmt.Reply) (stmt.Reply, attemptOutcome) {
	g := s.group
	if w.Begins() || r.State != stmt.Idle || r.Code == stmt.UnknownStatement {
		p.discard(conn)
	} else {
		p.put(conn)
	}
	if r.Code == stmt.Failed || r.Code == stmt.TimedOut {
		g.scheduler.ReportFailure(grant.Target)
	}
	g.scheduler.Release(grant, 0, false)
	if r.Code == stmt.ReadOnly || r.Code == stmt.WrongTarget {
		g.suspect(grant.Target)
	}
	r.State = stmt.Idle
	if r.Code.NotRun() {
		return r, outcomeNotRun
	}
	if r.Code == stmt.Failed && w.Retryable() {
		return r, outcomeNotRun
	}
	if w.InTransaction {
		r.State = stmt.InFailedTransaction
	}
	g.requestLogger.Info("request failed at member", "request", w.Statement.ID, "member", grant.Target, "code", r.Code, "reason", r.Text)
	return r, outcomeFinal
}

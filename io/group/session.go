package group

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/clock"
	"turmericpulley/core/fault"
	"turmericpulley/core/place"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
	"turmericpulley/io/logs"
)

// Session is a caller's session at the owner. Only one goroutine may use it.
type Session struct {
	group  *Group
	values map[string]string
	pinned *pinnedConn
}

// pinnedConn is the connection that an open transaction holds.
type pinnedConn struct {
	conn    *pooledConn
	pool    *pool
	target  types.TargetID
	primary bool
}

// NewSession returns a session without session values.
func (g *Group) NewSession() *Session { return &Session{group: g, values: map[string]string{}} }

// Close ends the session and rolls back an open transaction.
func (s *Session) Close() { s.rollbackAsync() }

// InTransaction reports whether a transaction is open.
func (s *Session) InTransaction() bool { return s.pinned != nil }

// Do runs one request and returns the reply for the caller; ErrNotOwner means that nothing ran.
func (s *Session) Do(req Request) (stmt.Reply, error) {
	if req.Values != nil {
		s.values = req.Values
	}
	switch {
	case req.Rollback:
		s.rollbackAsync()
		return stmt.Reply{}, nil
	case req.Continues():
		return s.runPinned(req), nil
	default:
		return s.runUnpinned(req)
	}
}

// runUnpinned runs a statement outside a transaction, or the first one of a transaction, on a member that the scheduler
// selects. It retries failed attempts that had no lasting effect, and attempts of retryable requests without a reply. The
// last attempt always goes to the primary.
func (s *Session) runUnpinned(req Request) (stmt.Reply, error) {
	g := s.group
	now := g.settings.Clock.Now()
	slotReq := place.SlotRequest{
		Class: req.Class, Priority: req.Priority, Objective: now.Add(req.Objective), Deadline: now.Add(req.Timeout),
		BeginsTransaction: req.Begins(), Account: req.Account, Weight: g.weight(req.Account),
	}
	g.retryBudget.RecordRequest()
	var lastReply stmt.Reply
	attempt := 0
	operation := g.newOperation(req.Account)
	defer operation.giveBack()
	for attempt < maxAttempts {
		if !g.settings.Ownership.Lease().Valid() {
			return stmt.Reply{}, ErrNotOwner
		}
		if wait, allowed := operation.take(); !allowed {
			return s.overLimitReply(req, wait), nil
		}
		slotReq.AllowReplicas = false
		if req.AllowReplicas && attempt < maxAttempts-1 {
			slotReq.MinPosition, slotReq.AllowReplicas = g.scheduler.MinPosition(req.MaxAge, req.LastCommit)
		}
		grant, err := g.scheduler.Acquire(slotReq)
		if err != nil {
			if f := fault.From(err); f != nil && f.Kind == fault.NoOwner {
				return stmt.Reply{}, ErrNotOwner
			}
			return s.refusedReply(req, slotReq, err, lastReply, g.settings.Clock.Since(now)), nil
		}
		reply, outcome := s.attempt(req, grant, slotReq)
		operation.record(reply, outcome)
		if outcome == outcomeFinal {
			return reply, nil
		}
		lastReply = reply
		if outcome == outcomeNoConnection && g.settings.Clock.Now() < slotReq.Deadline {
			// The scheduler knows by now; the statement waits, or goes to a member that has a connection.
			continue
		}
		if outcome == outcomeUnknown && !req.Retryable() {
			g.requestLogger.Warn("outcome unknown", "request", logs.Text(req.Statement.ID), "member", grant.Target,
				"reason", logs.Text(reply.Text))
			return stmt.Failure(stmt.OutcomeUnknown, "the answer of member "+string(grant.Target)+" is missing: "+reply.Text), nil
		}
		slotReq.Avoid = grant.Target
		if g.settings.Clock.Now() >= slotReq.Deadline || attempt > 0 && !g.retryBudget.AllowRetry() {
			break
		}
		g.requestLogger.Debug("statement retried", "request", logs.Text(req.Statement.ID), "member", grant.Target,
			"reason", logs.Text(reply.Text), "code", reply.Code)
		attempt++
	}
	return s.gaveUpReply(req, lastReply), nil
}

// refusedReply returns the reply to a statement for which the scheduler granted no slot of a member in the time that it waited.
func (s *Session) refusedReply(req Request, slotReq place.SlotRequest, err error, lastReply stmt.Reply, waited time.Duration) stmt.Reply {
	text := err.Error()
	if f := fault.From(err); f != nil {
		text = string(f.Kind) + ": " + text
		if f.RetryAfter > 0 {
			text += "; come back in " + f.RetryAfter.Round(time.Millisecond).String()
		}
	}
	s.group.requestLogger.Info("request refused", "request", logs.Text(req.Statement.ID), "reason", text, "before", logs.Text(lastReply.Text),
		"class", req.Class, "maxAge", req.MaxAge.String(), "waited", waited.Round(time.Millisecond).String(), "state", s.group.scheduler.Describe(slotReq))
	return s.failureReply(req, stmt.Overloaded, text)
}

// gaveUpReply returns the reply to a statement whose attempts all failed without a lasting effect.
func (s *Session) gaveUpReply(req Request, lastReply stmt.Reply) stmt.Reply {
	s.group.requestLogger.Info("request failed, no further retries", "request", logs.Text(req.Statement.ID), "code", lastReply.Code,
		"reason", logs.Text(lastReply.Text))
	if lastReply.Code == stmt.Failed || lastReply.Code == stmt.TimedOut {
		return s.failureReply(req, lastReply.Code, lastReply.Text)
	}
	return s.failureReply(req, stmt.RolledBack, "the attempts on members had no lasting effect: "+lastReply.Text)
}

// failureReply returns a failure. Inside a transaction it also marks the transaction as failed.
func (s *Session) failureReply(req Request, code stmt.Code, text string) stmt.Reply {
	r := stmt.Failure(code, text)
	if req.InTransaction {
		r.State = stmt.InFailedTransaction
	}
	return r
}

// attemptOutcome is the result of one attempt to run a statement.
type attemptOutcome int

const (
	// outcomeFinal means that the reply is the one for the caller.
	outcomeFinal attemptOutcome = iota
	// outcomeNotRun means that the attempt had no lasting effect.
	outcomeNotRun
	// outcomeUnknown means that the statement may have run.
	outcomeUnknown
	// outcomeNoConnection means that the member had no room for another connection. The attempt does not count.
	outcomeNoConnection
)

// attempt takes a connection to the granted member, sets it up for the statement and sends the statement.
func (s *Session) attempt(req Request, grant *place.Grant, slotReq place.SlotRequest) (stmt.Reply, attemptOutcome) {
	g := s.group
	timeout := g.settings.Clock.Until(slotReq.Deadline)
	if req.Retryable() {
		timeout = min(timeout, g.slowReplyTime(slotReq.Class))
	}
	deadline := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	p := g.pool(grant.Target)
	if p == nil {
		g.scheduler.Release(grant, 0, false)
		return stmt.Failure(stmt.Overloaded, "the member has left"), outcomeNotRun
	}
	defer g.suspectLater(grant.Target, req.Class).Stop()
	conn, err := p.get(ctx, req.Account, s.values)
	if isFull(err) {
		g.scheduler.Release(grant, 0, false)
		return stmt.Failure(stmt.TooManyConnections, err.Error()), outcomeNoConnection
	}
	if err != nil {
		g.scheduler.Release(grant, 0, false)
		g.suspect(grant.Target)
		return stmt.Failure(stmt.Overloaded, err.Error()), outcomeNotRun
	}
	var begin []stmt.Statement
	minPosition := slotReq.MinPosition
	if grant.Primary || !slotReq.AllowReplicas {
		minPosition = types.LogPosition{}
	}
	if req.BeginsReadWrite {
		begin = append(begin, stmt.Statement{Kind: stmt.Begin})
	}
	if req.BeginsReadOnly {
		begin = append(begin, stmt.Statement{Kind: stmt.BeginRead, MinPosition: minPosition})
	}
	if r, ok := conn.setUp(deadline, s.values, req.Statement, begin...); !ok {
		s.handleSetupFailure(grant, p, conn, r)
		return r, outcomeNotRun
	}
	if grant.Primary && !g.settings.Ownership.Lease().Valid() {
		s.discardAttempt(grant, p, conn)
		return stmt.Failure(stmt.Overloaded, "the ownership of the database ended"), outcomeNotRun
	}
	// Opening the connection may have taken a while.
	if !g.mayUse(grant.Target) {
		s.discardAttempt(grant, p, conn)
		return stmt.Failure(stmt.Overloaded, "the member is leaving"), outcomeNotRun
	}
	if grant.Primary && !g.isActivePrimary(grant.Target) {
		s.discardAttempt(grant, p, conn)
		return stmt.Failure(stmt.Overloaded, "the member is being replaced as the primary"), outcomeNotRun
	}
	return s.send(req, grant, p, conn, minPosition, deadline)
}

// discardAttempt releases the grant of a failed attempt and closes its connection.
func (s *Session) discardAttempt(grant *place.Grant, p *pool, conn *pooledConn) {
	p.discard(conn)
	s.group.scheduler.Release(grant, 0, false)
}

// handleSetupFailure discards an attempt whose connection could not be set up, and suspects the member. A replica that is
// only behind the position that the read needs is not suspected; its position is recorded.
func (s *Session) handleSetupFailure(grant *place.Grant, p *pool, conn *pooledConn, r stmt.Reply) {
	g := s.group
	if r.Code == stmt.Behind {
		g.scheduler.RecordReplicaPosition(grant.Target, r.Position)
	}
	s.discardAttempt(grant, p, conn)
	if r.Code != stmt.Behind && !conn.conn.distrusted {
		g.suspect(grant.Target)
	}
}

// send runs the statement on a connection that is set up for it.
func (s *Session) send(req Request, grant *place.Grant, p *pool, conn *pooledConn, minPosition types.LogPosition, deadline time.Time) (stmt.Reply, attemptOutcome) {
	g := s.group
	statement := conn.withPreparedName(req.Statement)
	if !req.Begins() && req.Statement.Reads() {
		statement.MinPosition = minPosition
	}
	sentAt := g.settings.Clock.Now()
	replies, err := conn.conn.exchange(deadline, statement)
	if err != nil {
		s.discardAttempt(grant, p, conn)
		if errors.Is(err, ErrNotSendable) {
			return s.failureReply(req, stmt.TooLarge, err.Error()), outcomeFinal
		}
		if !errors.Is(err, errMisplacedAnswer) {
			g.scheduler.ReportFailure(grant.Target)
			p.closeUnproved(sentAt)
			g.suspect(grant.Target)
		}
		return stmt.Failure(stmt.Overloaded, err.Error()), outcomeUnknown
	}
	r := replies[0]
	leaseValid := g.settings.Ownership.Lease().Valid()
	s.recordPosition(grant, r, sentAt, leaseValid)
	if grant.Primary && !leaseValid {
		s.discardAttempt(grant, p, conn)
		return stmt.Failure(stmt.RolledBack, "the ownership of the database ended before the answer"), outcomeUnknown
	}
	if r.Code != stmt.OK {
		return s.handleFailure(req, grant, p, conn, r)
	}
	if req.Statement.Writes() {
		g.recordCommit(r.Position)
	}
	// The connection is there again before the scheduler gives the slot to a statement that waits.
	took := g.settings.Clock.Since(sentAt)
	if !req.Begins() {
		p.put(conn)
		g.scheduler.Release(grant, took, false)
		return r, outcomeFinal
	}
	p.setResting(conn)
	g.scheduler.Release(grant, took, true)
	s.pinned = &pinnedConn{conn: conn, pool: p, target: grant.Target, primary: grant.Primary}
	return s.finishPinned(req, r), outcomeFinal
}

// recordPosition records the log position that came with a reply. A position from the primary counts only when the lease
// is valid and the member did not refuse the statement as read-only.
func (s *Session) recordPosition(grant *place.Grant, r stmt.Reply, sentAt clock.Moment, leaseValid bool) {
	if r.Position.IsZero() {
		return
	}
	if !grant.Primary {
		s.group.scheduler.RecordReplicaPosition(grant.Target, r.Position)
		return
	}
	if leaseValid && r.Code != stmt.ReadOnly {
		s.group.scheduler.RecordPrimaryPosition(grant.Target, r.Position, sentAt)
	}
}

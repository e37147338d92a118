package group

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/pause"
	"turmericpulley/core/place"
	"turmericpulley/core/stmt"
	"turmericpulley/io/logs"
)

// rollbackTimeout bounds a rollback in the background. A connection that does not answer in time is closed, which rolls
// back as well.
const rollbackTimeout = 500 * time.Millisecond

// runPinned runs a later statement of the open transaction, or its commit, on the connection that the transaction holds.
func (s *Session) runPinned(req Request) stmt.Reply {
	g, t := s.group, s.pinned
	if t == nil {
		g.requestLogger.Info("request rolled back", "request", logs.Text(req.Statement.ID), "reason", "the session has no open transaction")
		return s.failureReply(req, stmt.RolledBack, "the transaction lost its connection and was rolled back")
	}
	now := g.settings.Clock.Now()
	slotReq := place.SlotRequest{
		Class: req.Class, Priority: req.Priority, Objective: now.Add(req.Objective), Deadline: now.Add(req.Timeout), Pinned: t.target,
		Account: req.Account, Weight: g.weight(req.Account),
	}
	if req.Statement.Kind == stmt.Commit {
		slotReq.Class = commitClass
	}
	for {
		grant, err := g.scheduler.Acquire(slotReq)
		if err != nil {
			s.rollbackAsync()
			g.requestLogger.Info("request rolled back", "request", logs.Text(req.Statement.ID), "reason", err)
			return s.failureReply(req, stmt.RolledBack, "the transaction was rolled back: "+err.Error())
		}
		reply, retry := s.attemptPinned(req, grant, time.Now().Add(g.settings.Clock.Until(slotReq.Deadline)))
		if !retry {
			return reply
		}
	}
}

// commitClass is the scheduler's class of commits, whose service times are alike for all routes.
const commitClass place.Class = "commit"

// attemptPinned sends a statement on the transaction's connection. With retry set, the member was too busy to run it.
func (s *Session) attemptPinned(req Request, grant *place.Grant, deadline time.Time) (reply stmt.Reply, retry bool) {
	g, t := s.group, s.pinned
	if t.primary && !g.settings.Ownership.Lease().Valid() {
		g.scheduler.Release(grant, 0, false)
		s.rollbackAsync()
		return s.failureReply(req, stmt.RolledBack, "the ownership of the database ended; the transaction was rolled back"), false
	}
	if r, ok := t.conn.setUp(deadline, s.values, req.Statement); !ok {
		g.scheduler.Release(grant, 0, false)
		s.rollbackAsync()
		return s.failureReply(req, stmt.RolledBack, "the transaction was rolled back: "+r.Text), false
	}
	sentAt := g.settings.Clock.Now()
	defer g.suspectLater(t.target, req.Class).Stop()
	replies, err := t.conn.conn.exchange(deadline, t.conn.withPreparedName(req.Statement))
	if err != nil {
		t.conn.broken = true
		g.scheduler.Release(grant, 0, false)
		if errors.Is(err, ErrNotSendable) {
			s.rollbackAsync()
			return s.failureReply(req, stmt.TooLarge, err.Error()), false
		}
		if !errors.Is(err, errMisplacedAnswer) {
			g.suspect(t.target)
		}
		return s.lostConnectionReply(req, err.Error()), false
	}
	r := replies[0]
	leaseValid := g.settings.Ownership.Lease().Valid()
	grant.Primary = t.primary
	s.recordPosition(grant, r, sentAt, leaseValid)
	g.scheduler.Release(grant, g.settings.Clock.Since(sentAt), false)
	if t.primary && !leaseValid {
		t.conn.broken = true
		return s.lostConnectionReply(req, "the ownership of the database ended before the answer"), false
	}
	if r.Code == stmt.Overloaded && r.State == stmt.InTransaction && time.Now().Add(busyRetryDelay).Before(deadline) {
		pause.For(context.Background(), busyRetryDelay)
		return stmt.Reply{}, true
	}
	return s.finishPinned(req, r), false
}

// busyRetryDelay is the time before a statement is retried on a busy member, which takes about 10 ms for a statement.
const busyRetryDelay = 15 * time.Millisecond

// lostConnectionReply rolls back the transaction and returns the reply to a statement whose own reply cannot be used.
func (s *Session) lostConnectionReply(req Request, detail string) stmt.Reply {
	s.rollbackAsync()
	if req.Statement.Kind == stmt.Commit {
		s.group.requestLogger.Warn("outcome unknown", "request", logs.Text(req.Statement.ID), "reason", logs.Text(detail))
		return stmt.Failure(stmt.OutcomeUnknown, "the answer to the commit is missing: "+detail)
	}
	s.group.requestLogger.Info("request rolled back", "request", logs.Text(req.Statement.ID), "reason", logs.Text(detail))
	return s.failureReply(req, stmt.RolledBack, "the transaction was rolled back: "+detail)
}

// finishPinned updates the transaction after a reply: a commit returns the connection to its pool, a failure rolls back.
func (s *Session) finishPinned(req Request, r stmt.Reply) stmt.Reply {
	t := s.pinned
	if req.Statement.Kind == stmt.Commit {
		s.pinned = nil
		if r.Code != stmt.OK || r.State != stmt.Idle {
			t.conn.broken = true
		}
		if r.Code == stmt.OK && t.primary {
			s.group.recordCommit(r.Position)
		}
		t.pool.put(t.conn)
		s.group.scheduler.Unpin(t.target)
		if r.Code.NotRun() {
			r = stmt.Failure(stmt.RolledBack, "the transaction was rolled back: "+string(r.Code)+" "+r.Text)
		}
		r.State = stmt.Idle
		return r
	}
	if r.Code == stmt.OK {
		r.State = stmt.InTransaction
		return r
	}
	s.rollbackAsync()
	s.group.requestLogger.Info("request failed at member", "request", logs.Text(req.Statement.ID), "member", t.target, "code", r.Code,
		"reason", logs.Text(r.Text))
	if r.Code.NotRun() {
		r.Code = stmt.RolledBack
	}
	r.State = stmt.InFailedTransaction
	return r
}

// rollbackAsync rolls back the open transaction in the background.
func (s *Session) rollbackAsync() {
	t := s.pinned
	if t == nil {
		return
	}
	s.pinned = nil
	g := s.group
	if t.conn.broken {
		t.pool.put(t.conn)
		g.scheduler.Unpin(t.target)
		return
	}
	g.goroutines.Go(func() {
		replies, err := t.conn.conn.exchange(time.Now().Add(rollbackTimeout), stmt.Statement{Kind: stmt.Rollback})
		if err != nil || replies[0].Code != stmt.OK || replies[0].State != stmt.Idle {
			t.conn.broken = true
		}
		t.pool.put(t.conn)
		g.scheduler.Unpin(t.target)
	})
}

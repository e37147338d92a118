package group

import (
	"context"
	"time"

	"turmericpulley/core/pause"
	"turmericpulley/core/place"
	"turmericpulley/core/stmt"
)

// rollbackTimeout bounds the end of a transaction that nobody waits for; a connection that does not answer is closed,
// which rolls back as well.
const rollbackTimeout = 500 * time.Millisecond

// runPinned runs a further statement of the open transaction, or its commit.
func (s *Session) runPinned(w Request) stmt.Reply {
	g, t := s.group, s.pinned
	if t == nil {
		g.requestLogger.Info("request rolled back", "request", w.Statement.ID, "reason", "no transaction is open here")
		return s.failureReply(w, stmt.RolledBack, "the transaction's connection is gone; nothing of it is kept")
	}
	now := g.settings.Clock.Now()
	need := place.SlotRequest{
		Class: w.Class, Priority: w.Priority, Objective: now.Add(w.Objective), Deadline: now.Add(w.Timeout), Pinned: t.target,
	}
	if w.Statement.Kind == stmt.Commit {
		need.Class = commitClass
	}
	for {
		grant, err := g.scheduler.Acquire(need)
		if err != nil {
			s.rollbackAsync()
			g.requestLogger.Info("request rolled back", "request", w.Statement.ID, "reason", err)
			return s.failureReply(w, stmt.RolledBack, "nothing of the transaction is kept: "+err.Error())
		}
		reply, again := s.attemptPinned(w, grant, time.Now().Add(g.settings.Clock.Until(need.Deadline)))
		if !again {
			return reply
		}
	}
}

// commitClass is the work of commits, which is alike for all routes.
const commitClass place.Class = "commit"

// attemptPinned sends a statement on the transaction's connection; again means that the member was too busy to run it.
func (s *Session) attemptPinned(w Request, grant *place.Grant, deadline time.Time) (reply stmt.Reply, again bool) {
	g, t := s.group, s.pinned
	if t.primary && !g.settings.Ownership.Lease().Valid() {
		g.scheduler.Release(grant, 0, false)
		s.rollbackAsync()
		return s.failureReply(w, stmt.RolledBack, "the ownership of the database ended; nothing of the transaction is kept"), false
	}
	if r, ok := t.conn.setUp(deadline, s.values, w.Statement); !ok {
		g.scheduler.Release(grant, 0, false)
		s.rollbackAsync()
		return s.failureReply(w, stmt.RolledBack, "nothing of the transaction is kept: "+r.Text), false
	}
	asked := g.settings.Clock.Now()
	replies, err := t.conn.conn.Exchange(deadline, withPreparedName(w.Statement))
	if err != nil {
		t.conn.broken = true
		g.scheduler.Release(grant, 0, false)
		g.suspect(t.target)
		return s.lostConnectionReply(w, err.Error()), false
	}
	r := replies[0]
	valid := g.settings.Ownership.Lease().Valid()
	grant.Primary = t.primary
	s.recordPosition(grant, r, asked, valid)
	g.scheduler.Release(grant, g.settings.Clock.Since(asked), false)
	if t.primary && !valid {
		t.conn.broken = true
		return s.lostConnectionReply(w, "the ownership of the database ended before the answer"), false
	}
	if r.Code == stmt.Overloaded && r.State == stmt.InTransaction && time.Now().Add(busyRetryDelay).Before(deadline) {
		pause.For(context.Background(), busyRetryDelay)
		return stmt.Reply{}, true
	}
	return s.finishPinned(w, r), false
}

// busyRetryDelay is the time before a member that was too busy is asked again; it works some 10 ms at a statement.
const busyRetryDelay = 15 * time.Millisecond

// lostConnectionReply answers a statement whose transaction lost its connection.
func (s *Session) lostConnectionReply(w Request, detail string) stmt.Reply {
	s.rollbackAsync()
	if w.Statement.Kind == stmt.Commit {
		s.group.requestLogger.Warn("outcome unknown", "request", w.Statement.ID, "reason", detail)
		return stmt.Failure(stmt.OutcomeUnknown, "the answer to the commit is missing: "+detail)
	}
	s.group.requestLogger.Info("request rolled back", "request", w.Statement.ID, "reason", detail)
	return s.failureReply(w, stmt.RolledBack, "nothing of the transaction is kept: "+detail)
}

// finishPinned sets the state that a statement of a transaction leaves.
func (s *Session) finishPinned(w Request, r stmt.Reply) stmt.Reply {
	t := s.pinned
	if w.Statement.Kind == stmt.Commit {
		s.pinned = nil
		s.group.scheduler.Unpin(t.target)
		if r.Code != stmt.OK || r.State != stmt.Idle {
			t.conn.broken = true
		}
		if r.Code == stmt.OK && t.primary {
			s.group.recordCommit(r.Position)
		}
		t.pool.put(t.conn)
		if r.Code.NotRun() {
			r = stmt.Failure(stmt.RolledBack, "nothing of the transaction is kept: "+string(r.Code)+" "+r.Text)
		}
		r.State = stmt.Idle
		return r
	}
	if r.Code == stmt.OK {
		r.State = stmt.InTransaction
		return r
	}
	s.rollbackAsync()
	s.group.requestLogger.Info("request failed at member", "request", w.Statement.ID, "member", t.target, "code", r.Code, "reason", r.Text)
	if r.Code.NotRun() {
		r.Code = stmt.RolledBack
	}
	r.State = stmt.InFailedTransaction
	return r
}

// rollbackAsync rolls back the open transaction without waiting for it.
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
	g.running.Go(func() {
		replies, err := t.conn.conn.Exchange(time.Now().Add(rollbackTimeout), stmt.Statement{Kind: stmt.Rollback})
		if err != nil || replies[0].Code != stmt.OK || replies[0].State != stmt.Idle {
			t.conn.broken = true
		}
		t.pool.put(t.conn)
		g.scheduler.Unpin(t.target)
	})
}

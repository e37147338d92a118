package front

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/pause"
	"turmericpulley/core/place"
	"turmericpulley/core/routes"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
	"turmericpulley/io/group"
)

const (
	// defaultStatementTimeout limits statements of routes without a limit of their own.
	defaultStatementTimeout = 5 * time.Second
	// ownerRetryDelay is the time between two searches for the owner of a database.
	ownerRetryDelay = 20 * time.Millisecond
)

// runAtOwner sends a statement to the owner of the database and takes what its answer changes.
func (s *session) runAtOwner(statement stmt.Statement) stmt.Reply {
	if s.state == stmt.Idle {
		if r, ok := s.resolveRoute(); !ok {
			return r
		}
		s.activeTime = 0
	}
	started := time.Now()
	w := s.newRequest(statement)
	r := s.sendToOwner(w, started)
	s.activeTime += time.Since(started)
	s.unsentBegin = 0
	switch {
	case statement.Kind == stmt.Commit:
		s.state = stmt.Idle
	case s.state == stmt.InTransaction && r.Code != stmt.OK:
		s.state = stmt.InFailedTransaction
	}
	if r.Code == stmt.OK {
		s.recordPosition(statement, r)
	}
	return r
}

// recordPosition notes the position of a commit of the session.
func (s *session) recordPosition(statement stmt.Statement, r stmt.Reply) {
	if !r.Position.IsZero() {
		s.position = r.Position
	}
	writes := statement.Writes()
	if s.state == stmt.InTransaction {
		s.wrote = s.wrote || writes
		return
	}
	if writes || statement.Kind == stmt.Commit && s.wrote {
		s.lastCommit = s.lastCommit.Max(r.Position)
	}
}

func (s *session) newRequest(statement stmt.Statement) group.Request {
	w := group.Request{
		Statement:       statement,
		InTransaction:   s.state == stmt.InTransaction,
		BeginsReadWrite: s.unsentBegin == stmt.Begin,
		BeginsReadOnly:  s.unsentBegin == stmt.BeginRead,
		LastCommit:      s.lastCommit,
		MaxAge:          s.route.MaxAge,
		Priority:        s.route.Priority,
		Class:           place.Class(s.route.Name),
	}
	w.AllowReplicas = w.IsReadOnly() && s.route.Consistency != routes.Primary
	if s.route.Consistency != routes.ReadYourWrites {
		w.LastCommit = types.LogPosition{}
	}
	return w
}

// sendToOwner sends the work to the owner, and again when it surely had no effect.
func (s *session) sendToOwner(w group.Request, started time.Time) stmt.Reply {
	limit := s.route.Timeout
	if limit <= 0 {
		limit = defaultStatementTimeout
	}
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(limit))
	defer cancel()
	for {
		if w.Continues() && s.ownerSession == nil {
			return stmt.Failure(stmt.RolledBack, "the way to the transaction's owner broke; nothing of it is kept")
		}
		if err := s.connectOwner(ctx); err != nil {
			return stmt.Failure(stmt.Overloaded, err.Error())
		}
		w.Timeout = time.Until(started.Add(limit))
		w.Objective = s.route.Objective - s.activeTime - time.Since(started)
		if w.Values = nil; s.valuesUnsent {
			w.Values = s.values
		}
		r, err := s.ownerSession.Do(w)
		if err == nil {
			s.valuesUnsent = false
			return r
		}
		s.closeOwnerSession()
		if r, final := s.handleConnectionLoss(w, err); final {
			return r
		}
		if !pause.For(ctx, ownerRetryDelay) {
			return stmt.Failure(stmt.Overloaded, "no owner of the database answered in time; come back in 200 ms")
		}
	}
}

// handleConnectionLoss decides what the loss of the way to the owner means; final comes with the answer for the caller.
func (s *session) handleConnectionLoss(w group.Request, err error) (stmt.Reply, bool) {
	notRun := errors.Is(err, group.ErrNotOwner)
	switch {
	case w.Continues() && w.Statement.Kind == stmt.Commit && !notRun:
		return stmt.Failure(stmt.OutcomeUnknown, "the answer to the commit is missing: "+err.Error()), true
	case w.Continues():
		return stmt.Failure(stmt.RolledBack, "nothing of the transaction is kept: "+err.Error()), true
	case notRun || w.Retryable():
		return stmt.Reply{}, false
	default:
		return stmt.Failure(stmt.OutcomeUnknown, "the answer to the write is missing: "+err.Error()), true
	}
}

// connectOwner makes sure that there is a way to the owner of the route's database.
func (s *session) connectOwner(ctx context.Context) error {
	if s.ownerSession != nil && s.database == s.route.Database {
		return nil
	}
	s.closeOwnerSession()
	runner, err := s.server.settings.Router.OwnerSession(ctx, s.route.Database)
	if err != nil {
		return err
	}
	s.ownerSession, s.database, s.valuesUnsent = runner, s.route.Database, len(s.values) > 0
	return nil
}

// closeOwnerSession ends the session at the owner, which rolls back what is open there.
func (s *session) closeOwnerSession() {
	if s.ownerSession != nil {
		s.ownerSession.Close()
		s.ownerSession = nil
	}
}

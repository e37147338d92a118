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
	// defaultStatementTimeout applies to the statements of routes without a timeout of their own.
	defaultStatementTimeout = 5 * time.Second
	// ownerRetryDelay is the time between two searches for the owner of a database.
	ownerRetryDelay = 20 * time.Millisecond
)

// runAtOwner runs a statement at the owner of the database and updates the session after the reply.
func (s *session) runAtOwner(statement stmt.Statement) stmt.Reply {
	if s.state == stmt.Idle {
		if r, ok := s.resolveRoute(); !ok {
			return r
		}
		s.activeTime = 0
	} else if r, ok := s.checkAccount(statement); !ok {
		return r
	}
	started := time.Now()
	req := s.newRequest(statement)
	r, refused := s.checkLimit(req)
	if !refused {
		r = s.sendToOwner(req, started)
		s.recordLimit(req, r)
	}
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

// recordPosition records the position of a successful reply, and whether the open transaction has written. The position of
// a committed write becomes the session's last commit.
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

// newRequest returns the request for the owner, except for what changes from attempt to attempt.
func (s *session) newRequest(statement stmt.Statement) group.Request {
	req := group.Request{
		Statement:       statement,
		Account:         s.account,
		InTransaction:   s.state == stmt.InTransaction,
		BeginsReadWrite: s.unsentBegin == stmt.Begin,
		BeginsReadOnly:  s.unsentBegin == stmt.BeginRead,
		LastCommit:      s.lastCommit,
		MaxAge:          s.route.MaxAge,
		Priority:        s.route.Priority,
		Class:           place.Class(s.route.Name),
	}
	req.AllowReplicas = req.IsReadOnly() && s.route.Consistency != routes.Primary
	if s.route.Consistency != routes.ReadYourWrites {
		req.LastCommit = types.LogPosition{}
	}
	return req
}

// sendToOwner sends the request to the owner, and sends it again when it certainly had no lasting effect.
func (s *session) sendToOwner(req group.Request, started time.Time) stmt.Reply {
	timeout := s.route.Timeout
	if timeout <= 0 {
		timeout = defaultStatementTimeout
	}
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(timeout))
	defer cancel()
	for {
		if req.Continues() && s.ownerSession == nil {
			return stmt.Failure(stmt.RolledBack, "the connection to the transaction's owner was lost; the transaction was rolled back")
		}
		if err := s.connectOwner(ctx); err != nil {
			s.ownerUnreached = errors.Is(err, ErrOwnerUnreached)
			return stmt.Failure(stmt.Overloaded, err.Error())
		}
		req.Timeout = time.Until(started.Add(timeout))
		req.Objective = s.route.Objective - s.activeTime - time.Since(started)
		if req.Values = nil; s.valuesUnsent {
			req.Values = s.held.sharedValues()
		}
		r, err := s.ownerSession.Do(req)
		if err == nil {
			// A request that is too large may not have reached the owner.
			s.valuesUnsent = s.valuesUnsent && r.Code == stmt.TooLarge
			return r
		}
		s.closeOwnerSession()
		if r, final := s.handleConnectionLoss(req, err); final {
			return r
		}
		if !pause.For(ctx, ownerRetryDelay) {
			return stmt.Failure(stmt.Overloaded, "no owner of the database answered in time; come back in 200 ms")
		}
	}
}

// handleConnectionLoss decides what an error of the owner's session means for the request. With final set, the reply is
// the one for the caller; otherwise the request may be sent again.
func (s *session) handleConnectionLoss(req group.Request, err error) (stmt.Reply, bool) {
	notRun := errors.Is(err, group.ErrNotOwner) || errors.Is(err, ErrNotSent)
	switch {
	case req.Continues() && req.Statement.Kind == stmt.Commit && !notRun:
		return stmt.Failure(stmt.OutcomeUnknown, "the answer to the commit is missing: "+err.Error()), true
	case req.Continues():
		return stmt.Failure(stmt.RolledBack, "the transaction was rolled back: "+err.Error()), true
	case notRun || req.Retryable():
		return stmt.Reply{}, false
	default:
		return stmt.Failure(stmt.OutcomeUnknown, "the answer to the write is missing: "+err.Error()), true
	}
}

// connectOwner opens a session at the owner of the route's database unless there is one.
func (s *session) connectOwner(ctx context.Context) error {
	if s.ownerSession != nil && s.database == s.route.Database {
		return nil
	}
	s.closeOwnerSession()
	ownerSession, err := s.server.settings.Router.OwnerSession(ctx, s.route.Database)
	if err != nil {
		return err
	}
	s.ownerSession, s.database, s.valuesUnsent = ownerSession, s.route.Database, len(s.held.values) > 0
	return nil
}

// closeOwnerSession ends the session at the owner, which rolls back an open transaction.
func (s *session) closeOwnerSession() {
	if s.ownerSession != nil {
		s.ownerSession.Close()
		s.ownerSession = nil
	}
}

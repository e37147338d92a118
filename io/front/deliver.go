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
	// defaultTimeout limits statements of routes without a limit of their own.
	defaultTimeout = 5 * time.Second
	// reroutePause is the time between two searches for the owner of a database.
	reroutePause = 20 * time.Millisecond
)

// forward sends a statement to the owner of the database and takes what its answer changes.
func (s *session) forward(statement stmt.Statement) stmt.Reply {
	if s.state == stmt.Idle {
		if r, ok := s.resolve(); !ok {
			return r
		}
		s.spent = 0
	}
	started := time.Now()
	w := s.work(statement)
	r := s.deliver(w, started)
	s.spent += time.Since(started)
	s.opening = 0
	switch {
	case statement.Kind == stmt.Commit:
		s.state = stmt.Idle
	case s.state == stmt.Open && r.Code != stmt.OK:
		s.state = stmt.Broken
	}
	if r.Code == stmt.OK {
		s.settle(statement, r)
	}
	return r
}

// settle notes the position of a commit of the session.
func (s *session) settle(statement stmt.Statement, r stmt.Reply) {
	if !r.Position.IsZero() {
		s.position = r.Position
	}
	writes := statement.Writes()
	if s.state == stmt.Open {
		s.wrote = s.wrote || writes
		return
	}
	if writes || statement.Kind == stmt.Commit && s.wrote {
		s.own = s.own.Max(r.Position)
	}
}

func (s *session) work(statement stmt.Statement) group.Work {
	w := group.Work{
		Statement: statement,
		Inside:    s.state == stmt.Open,
		Opens:     s.opening == stmt.Begin,
		OpensRead: s.opening == stmt.BeginRead,
		Own:       s.own,
		MaxAge:    s.route.MaxAge,
		Priority:  s.route.Priority,
		Class:     place.Class(s.route.Name),
	}
	w.Replicas = w.Reads() && s.route.Consistency != routes.Primary
	if s.route.Consistency != routes.Own {
		w.Own = types.LogPosition{}
	}
	return w
}

// deliver sends the work to the owner, and again when it surely had no effect.
func (s *session) deliver(w group.Work, started time.Time) stmt.Reply {
	limit := s.route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(limit))
	defer cancel()
	for {
		if w.Continues() && s.runner == nil {
			return stmt.Fail(stmt.RolledBack, "the way to the transaction's owner broke; nothing of it is kept")
		}
		if err := s.reach(ctx); err != nil {
			return stmt.Fail(stmt.Overloaded, err.Error())
		}
		w.Limit = time.Until(started.Add(limit))
		w.Objective = s.route.Objective - s.spent - time.Since(started)
		if w.Values = nil; s.unsent {
			w.Values = s.values
		}
		r, err := s.runner.Do(w)
		if err == nil {
			s.unsent = false
			return r
		}
		s.drop()
		if r, final := s.broken(w, err); final {
			return r
		}
		if !pause.For(ctx, reroutePause) {
			return stmt.Fail(stmt.Overloaded, "no owner of the database answered in time; come back in 200 ms")
		}
	}
}

// broken decides what the loss of the way to the owner means; final comes with the answer for the caller.
func (s *session) broken(w group.Work, err error) (stmt.Reply, bool) {
	notRun := errors.Is(err, group.ErrNotOwner)
	switch {
	case w.Continues() && w.Statement.Kind == stmt.Commit && !notRun:
		return stmt.Fail(stmt.OutcomeUnknown, "the answer to the commit is missing: "+err.Error()), true
	case w.Continues():
		return stmt.Fail(stmt.RolledBack, "nothing of the transaction is kept: "+err.Error()), true
	case notRun || w.Repeatable():
		return stmt.Reply{}, false
	default:
		return stmt.Fail(stmt.OutcomeUnknown, "the answer to the write is missing: "+err.Error()), true
	}
}

// reach makes sure that there is a way to the owner of the route's database.
func (s *session) reach(ctx context.Context) error {
	if s.runner != nil && s.database == s.route.Database {
		return nil
	}
	s.drop()
	runner, err := s.server.settings.Router.Runner(ctx, s.route.Database)
	if err != nil {
		return err
	}
	s.runner, s.database, s.unsent = runner, s.route.Database, len(s.values) > 0
	return nil
}

// drop ends the session at the owner, which rolls back what is open there.
func (s *session) drop() {
	if s.runner != nil {
		s.runner.Close()
		s.runner = nil
	}
}

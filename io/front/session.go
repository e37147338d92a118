package front

import (
	"maps"
	"os"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/routes"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
	"turmericpulley/io/group"
)

// prepared is a statement that the caller named.
type prepared struct {
	access stmt.Access
	shape  string
}

// session is one caller's session.
type session struct {
	server *Server
	caller Caller
	name   routes.Name

	values   map[string]string
	prepared map[string]prepared
	state    stmt.State
	// own is the newest commit of the session.
	own types.LogPosition
	// position is shown to the caller.
	position types.LogPosition

	// route and idleLimit are those of the open transaction, or of the statement that runs.
	route     routes.Route
	idleLimit time.Duration
	// opening is the begin that was not sent yet; zero when the member has it.
	opening stmt.Kind
	// wrote tells that the open transaction has written.
	wrote bool
	// spent is the time that the open transaction has been served, without the caller's pauses.
	spent time.Duration

	runner   Runner
	database types.DatabaseID
	// unsent tells that the owner does not know the present values.
	unsent bool
}

// serve answers the caller's statements until it leaves or the server stops.
func (s *session) serve() {
	defer s.drop()
	for {
		s.limitIdle()
		if s.server.stopping(s.state) && !s.caller.Pending() {
			return
		}
		statement, err := s.caller.Next()
		var malformed Malformed
		switch {
		case errors.As(err, &malformed):
			s.server.counters.Malformed.Add(1)
			if s.answer(stmt.Statement{}, s.fail(stmt.Malformed, malformed.Detail), time.Now()) != nil {
				return
			}
			continue
		case errors.Is(err, os.ErrDeadlineExceeded) && s.expire():
			continue
		case err != nil:
			s.unreadable(err)
			return
		}
		started := time.Now()
		if s.answer(statement, s.run(statement), started) != nil {
			return
		}
	}
}

// unreadable tells the caller of a message that was too long.
func (s *session) unreadable(err error) {
	if errors.Is(err, ErrDone) || isClosed(err) {
		return
	}
	s.server.counters.Malformed.Add(1)
	_ = s.caller.Reply(s.fail(stmt.TooLarge, err.Error()))
}

// limitIdle bounds the wait for the next statement of an open transaction.
func (s *session) limitIdle() {
	limit := time.Duration(0)
	if s.state == stmt.Open {
		limit = s.idleLimit
	}
	_ = s.caller.SetIdleLimit(limit)
}

// expire rolls back a transaction whose caller was idle for too long, and reports whether the session goes on. The
// caller hears of it with its next statement.
func (s *session) expire() bool {
	if s.server.isStopping() {
		return s.state != stmt.Idle && !s.server.overdue()
	}
	if s.state != stmt.Open {
		return true
	}
	s.server.logger.Info("idle transaction rolled back", "route", s.name, "limit", s.idleLimit)
	s.abandon()
	s.state = stmt.Broken
	return true
}

// answer sends the reply with the session's state.
func (s *session) answer(statement stmt.Statement, r stmt.Reply, started time.Time) error {
	r.State = s.state
	if r.Position.IsZero() {
		r.Position = s.position
	}
	err := s.caller.Reply(r)
	s.server.answered(s.name, statement.ID, r, time.Since(started))
	return err
}

// run carries out one statement.
func (s *session) run(statement stmt.Statement) stmt.Reply {
	switch statement.Kind {
	case stmt.Rollback:
		return s.rollback()
	case stmt.Commit:
		if s.state == stmt.Broken {
			s.state = stmt.Idle
			return stmt.Fail(stmt.RolledBack, "the transaction had failed; nothing of it is kept")
		}
	default:
		if s.state == stmt.Broken {
			return stmt.Fail(stmt.Malformed, "the transaction has failed; end it before anything else")
		}
	}
	switch statement.Kind {
	case stmt.Begin, stmt.BeginRead:
		return s.begin(statement.Kind)
	case stmt.Set:
		s.values = maps.Clone(s.values)
		s.values[statement.Name] = statement.Data
		s.unsent = true
		return stmt.Reply{}
	case stmt.Prepare:
		s.prepared[statement.Name] = prepared{statement.Access, statement.Shape}
		return stmt.Reply{}
	case stmt.Deallocate:
		delete(s.prepared, statement.Name)
		return stmt.Reply{}
	case stmt.Execute:
		p, known := s.prepared[statement.Name]
		if !known {
			return s.fail(stmt.UnknownStatement, "no statement is prepared under the name "+statement.Name)
		}
		statement.Access, statement.Shape = p.access, p.shape
	case stmt.Commit:
		if s.state == stmt.Idle {
			return stmt.Fail(stmt.Malformed, "no transaction is open")
		}
	}
	return s.forward(statement)
}

// begin opens a transaction; the member hears of it with the first statement.
func (s *session) begin(kind stmt.Kind) stmt.Reply {
	if s.state != stmt.Idle {
		return s.fail(stmt.Malformed, "a transaction is open already")
	}
	if r, ok := s.resolve(); !ok {
		return r
	}
	s.state, s.opening, s.wrote, s.spent = stmt.Open, kind, false, 0
	return stmt.Reply{}
}

func (s *session) rollback() stmt.Reply {
	s.abandon()
	s.state = stmt.Idle
	return stmt.Reply{}
}

// abandon ends the transaction at the owner.
func (s *session) abandon() {
	if s.runner != nil && s.state != stmt.Idle && s.opening == 0 {
		if _, err := s.runner.Do(group.Work{Abandon: true, Inside: true}); err != nil {
			s.drop()
		}
	}
	s.opening = 0
}

// resolve looks up the session's route in the configuration in force; false comes with the answer for the caller.
func (s *session) resolve() (stmt.Reply, bool) {
	table := s.server.settings.Routes.Table()
	if table == nil {
		return s.fail(stmt.Overloaded, "the configuration is not known yet; come back in a second"), false
	}
	route, known := table.Routes[s.name]
	if !known {
		return s.fail(stmt.UnknownDatabase, "no route has the name "+string(s.name)), false
	}
	s.route, s.idleLimit = route, table.IdleLimit
	return stmt.Reply{}, true
}

// fail returns a failure and breaks an open transaction.
func (s *session) fail(code stmt.Code, text string) stmt.Reply {
	if s.state == stmt.Open {
		s.abandon()
		s.state = stmt.Broken
	}
	return stmt.Fail(code, text)
}

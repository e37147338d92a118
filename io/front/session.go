package front

import (
	"io"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/acct"
	"turmericpulley/core/budget"
	"turmericpulley/core/routes"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
	"turmericpulley/io/group"
)

// preparedStatement is a statement that the caller prepared under a name.
type preparedStatement struct {
	access stmt.Access
	shape  string
}

// session is the session of one caller.
type session struct {
	server    *Server
	caller    CallerConn
	routeName routes.Name
	// key is the digest of the caller's key, and account the client account that it named when the open transaction, or the running
	// statement, began.
	key     acct.Digest
	account types.AccountID

	// holder counts what the session holds.
	holder *budget.Holder

	held  heldState
	state stmt.State
	// lastCommit is the position of the session's newest commit.
	lastCommit types.LogPosition
	// position is that of the last successful reply that had one; replies without a position report it.
	position types.LogPosition

	// route and idleTimeout are those of the open transaction, or of the running statement.
	route       routes.Route
	idleTimeout time.Duration
	// unsentBegin is the begin statement that was not sent to the owner yet; zero when there is none.
	unsentBegin stmt.Kind
	// wrote is set when the open transaction has written.
	wrote bool
	// activeTime is the time spent on the statements of the open transaction, without the caller's pauses.
	activeTime time.Duration

	// lastReply is when the last reply was sent.
	lastReply time.Time

	// ownerSession is the session at the owner of database; nil when there is none.
	ownerSession OwnerSession
	database     types.DatabaseID
	// valuesUnsent is set when the owner does not have the present values.
	valuesUnsent bool
	// ownerUnreached is set when the last statement for the owner was refused because no owner was reached.
	ownerUnreached bool
}

// textHeldTooMuch refuses a value or a prepared statement for which the session has no room.
var textHeldTooMuch = "the values and prepared statements of the session exceed " + strconv.Itoa(maxHeldBytes) +
	" bytes; close or shorten some"

// serve handles the caller's statements until the caller ends the session or the server stops.
func (s *session) serve() {
	defer s.closeOwnerSession()
	for {
		s.setIdleTimeout()
		if (s.server.mustClose(s.state) || s.mustMove()) && !s.caller.HasUnreadBytes() {
			return
		}
		statement, err := s.caller.Next()
		var malformed MalformedError
		switch {
		case errors.Is(err, ErrNoRoom):
			if s.sendReply(statement, s.fail(stmt.Overloaded, err.Error()), time.Now()) != nil {
				return
			}
			continue
		case errors.As(err, &malformed):
			s.server.counters.Malformed.Add(1)
			if s.sendReply(statement, s.fail(stmt.Malformed, malformed.Detail), time.Now()) != nil {
				return
			}
			continue
		case errors.Is(err, os.ErrDeadlineExceeded) && s.handleIdleTimeout():
			continue
		case err != nil:
			s.handleReadError(err)
			return
		}
		started := time.Now()
		s.holder.Work()
		r := s.execute(statement)
		if s.sendReply(statement, s.roomForAnswer(statement, r), started) != nil {
			return
		}
	}
}

// mustMove reports whether to close the session because this instance reaches no owner of its database, or can prove no longer that the
// caller's key is in force. The caller repeats its request over a new connection then, which the balancer may give to an instance that
// does; over this one the request would come back here.
func (s *session) mustMove() bool {
	return s.state == stmt.Idle && (s.ownerUnreached || s.server.lacksProof(s.routeName))
}

// handleReadError tells the caller that its message was too long. It does nothing when the caller ended the session or
// disconnected.
func (s *session) handleReadError(err error) {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		s.server.counters.Truncated.Add(1)
		s.server.logger.Info("session ended in the middle of a message", "route", s.routeName)
	}
	if errors.Is(err, ErrSessionEnded) || isDisconnect(err) {
		return
	}
	s.server.counters.Malformed.Add(1)
	_ = s.caller.Reply(s.fail(stmt.TooLarge, err.Error()))
}

// setIdleTimeout bounds the wait for the next statement of a transaction that has not failed; other waits have no bound.
func (s *session) setIdleTimeout() {
	timeout := time.Duration(0)
	if s.state == stmt.InTransaction && s.idleTimeout > 0 {
		timeout = max(time.Until(s.lastReply.Add(s.idleTimeout)), time.Millisecond)
	}
	_ = s.caller.SetIdleTimeout(timeout)
}

// handleIdleTimeout rolls back a transaction whose caller was idle for too long, and reports whether the session continues.
// The caller gets the error with the reply to its next statement. A stopping server interrupts the wait as well;
// the session then continues only while its open transaction may still end.
func (s *session) handleIdleTimeout() bool {
	if s.server.isStopping() {
		return s.state != stmt.Idle && !s.server.transactionTimeOver()
	}
	if s.state != stmt.InTransaction || s.idleTimeout <= 0 || time.Since(s.lastReply) < s.idleTimeout {
		return true
	}
	s.server.logger.Info("idle transaction rolled back", "route", s.routeName, "limit", s.idleTimeout)
	s.rollbackAtOwner()
	s.state = stmt.InFailedTransaction
	s.holder.Rest()
	return true
}

// sendReply sends the reply with the state and position of the session.
func (s *session) sendReply(statement stmt.Statement, r stmt.Reply, started time.Time) error {
	r.State = s.state
	if r.Position.IsZero() {
		r.Position = s.position
	}
	s.holder.Take(budget.Message, 0)
	s.holder.Progress(budget.Answer)
	err := s.caller.Reply(r)
	s.lastReply = time.Now()
	s.holder.Take(budget.Answer, 0)
	if s.state == stmt.InTransaction {
		s.holder.Pause()
	} else {
		s.holder.Rest()
	}
	s.countAccount(r, time.Since(started))
	s.server.recordReply(s.routeName, s.account, statement.ID, r, time.Since(started))
	return err
}

// execute runs one statement and returns the reply for the caller.
func (s *session) execute(statement stmt.Statement) stmt.Reply {
	switch statement.Kind {
	case stmt.Rollback:
		return s.rollback()
	case stmt.Commit:
		if s.state == stmt.InFailedTransaction {
			s.state = stmt.Idle
			return stmt.Failure(stmt.RolledBack, "the transaction had failed and was rolled back")
		}
	default:
		if s.state == stmt.InFailedTransaction {
			return stmt.Failure(stmt.Malformed, "the transaction has failed; end it before any other statement")
		}
	}
	switch statement.Kind {
	case stmt.Begin, stmt.BeginRead:
		return s.begin(statement.Kind)
	case stmt.Set:
		if !s.held.setValue(statement.Name, statement.Value) {
			return s.failHeld()
		}
		s.valuesUnsent = true
		return stmt.Reply{}
	case stmt.Prepare:
		if !s.held.prepare(statement.Name, preparedStatement{statement.Access, statement.Shape}) {
			return s.failHeld()
		}
		return stmt.Reply{}
	case stmt.Deallocate:
		s.held.deallocate(statement.Name)
		return stmt.Reply{}
	case stmt.Execute:
		p, known := s.held.prepared[statement.Name]
		if !known {
			return s.fail(stmt.UnknownStatement, "no statement is prepared under the name "+statement.Name)
		}
		statement.Access, statement.Shape = p.access, p.shape
	case stmt.Commit:
		if s.state == stmt.Idle {
			return stmt.Failure(stmt.Malformed, "no transaction is open")
		}
	}
	return s.runAtOwner(statement)
}

// failHeld refuses a value or a prepared statement for which there is no room.
func (s *session) failHeld() stmt.Reply {
	if !s.held.refusedByBudget {
		return s.fail(stmt.Malformed, textHeldTooMuch)
	}
	return s.fail(stmt.Overloaded, textNoState)
}

// begin opens a transaction in the session. The begin is sent to the owner with the transaction's first statement.
func (s *session) begin(kind stmt.Kind) stmt.Reply {
	if s.state != stmt.Idle {
		return s.fail(stmt.Malformed, "a transaction is already open")
	}
	if r, ok := s.resolveRoute(); !ok {
		return r
	}
	s.state, s.unsentBegin, s.wrote, s.activeTime = stmt.InTransaction, kind, false, 0
	return stmt.Reply{}
}

func (s *session) rollback() stmt.Reply {
	s.rollbackAtOwner()
	s.state = stmt.Idle
	return stmt.Reply{}
}

// rollbackAtOwner rolls back the transaction at the owner, if it has begun there.
func (s *session) rollbackAtOwner() {
	if s.ownerSession != nil && s.state != stmt.Idle && s.unsentBegin == 0 {
		if _, err := s.ownerSession.Do(group.Request{Rollback: true, InTransaction: true}); err != nil {
			s.closeOwnerSession()
		}
	}
	s.unsentBegin = 0
}

// resolveRoute looks up the session's route in the current configuration. When that fails, it returns false and the reply
// for the caller.
func (s *session) resolveRoute() (stmt.Reply, bool) {
	table, proved := s.server.provedTable()
	if table == nil {
		return s.fail(stmt.Overloaded, "the configuration is not loaded yet; come back in a second"), false
	}
	route, known := table.Routes[s.routeName]
	if s.server.mayLackChange(known) {
		return s.fail(stmt.Overloaded, textOutdated), false
	}
	if !known {
		return s.fail(stmt.UnknownDatabase, "no route has the name "+string(s.routeName)), false
	}
	account, code, text := identify(table, proved, route, s.key)
	if code == stmt.Unauthorised {
		s.account = ""
	}
	if code != stmt.OK {
		return s.fail(code, text), false
	}
	s.account = account
	s.route, s.idleTimeout = route, table.IdleTransactionTimeout
	return stmt.Reply{}, true
}

// fail returns a failure. An open transaction is rolled back and becomes a failed one.
func (s *session) fail(code stmt.Code, text string) stmt.Reply {
	if s.state == stmt.InTransaction {
		s.rollbackAtOwner()
		s.state = stmt.InFailedTransaction
	}
	return stmt.Failure(code, text)
}

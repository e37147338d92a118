package group

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"turmericpulley/core/clock"
	"turmericpulley/core/match"
	"turmericpulley/core/pause"
	"turmericpulley/core/routes"
	"turmericpulley/core/stmt"
	"turmericpulley/io/logs"
)

// errMisplacedAnswer means that the answers on a connection no longer match the statements.
var errMisplacedAnswer = errors.New("the member sent an answer that does not belong to the statement")

// Counters count answers that did not belong to the statement that waited for the next one, and what became of connections.
type Counters struct {
	// RepeatedAnswers were second answers to earlier statements; the statement's own answer was read after them.
	RepeatedAnswers atomic.Int64
	// MisplacedAnswers left it unknown which statements the answers on the connection belong to.
	MisplacedAnswers atomic.Int64
	// DistrustedConnections were closed for either.
	DistrustedConnections atomic.Int64
	// UnusableIdleConnections had ended, or had unexpected data, when the next statement was to use them.
	UnusableIdleConnections atomic.Int64
	// ConnectionUses is the number of statements and transactions that took a connection, ConnectionWaits of those that found no idle one
	// of their account.
	ConnectionUses, ConnectionWaits atomic.Int64
	// DisplacedConnections were closed while idle so that one could be opened for another account.
	DisplacedConnections atomic.Int64
	// ConnectionsRefused is the number of openings that members refused because they had too many connections.
	ConnectionsRefused atomic.Int64
	// StatementsBehindShare is the number of statements that waited behind others because their account had used more than its share.
	StatementsBehindShare atomic.Int64
}

// checkedConn assigns the answers on a connection to its statements. A connection on which one answer was not in its place is to be
// closed as soon as its transaction has ended.
type checkedConn struct {
	Conn
	answers    match.Sequence
	distrusted bool
	// number is the place of the connection among those that were opened to the member.
	number   uint64
	member   routes.Member
	clock    clock.Clock
	counters *Counters
	logger   hclog.Logger
}

func newCheckedConn(c Conn, m routes.Member, number uint64, s Settings) *checkedConn {
	return &checkedConn{Conn: c, member: m, number: number, clock: s.Clock, counters: s.Counters, logger: s.RequestLogger}
}

// exchange sends the statements together and returns the answer to each. After an error it returns the answers that arrived before, the
// connection must not be used again, and statements without an answer may have run.
//
// A failure decides what the caller of a statement is told. One that may be a second answer to an earlier failure is therefore confirmed, and
// is an error when it cannot be.
func (c *checkedConn) exchange(deadline time.Time, statements ...stmt.Statement) ([]stmt.Reply, error) {
	unread, before := c.Unread(), c.answers.State()
	if err := c.Send(deadline, statements...); err != nil {
		return nil, err
	}
	replies := make([]stmt.Reply, 0, len(statements))
	for _, s := range statements {
		r, verdict, err := c.receive(s, unread)
		switch {
		case err != nil || verdict == match.Own || s.ID == "":
		case before != stmt.Idle && r.State == stmt.InFailedTransaction && s.Kind != stmt.Commit:
			// The transaction is rolled back whichever statement the failure belongs to. Answers that are left over arrive while
			// the connection rests, and close it.
		default:
			r, err = c.confirm(deadline, s, r, verdict, unread)
		}
		if err != nil {
			return replies, err
		}
		replies = append(replies, r)
	}
	return replies, nil
}

// receive returns the next answer that is no second answer to an earlier statement.
func (c *checkedConn) receive(s stmt.Statement, unread int) (stmt.Reply, match.Verdict, error) {
	for {
		r, err := c.Receive()
		if err != nil {
			return r, match.Misplaced, err
		}
		verdict := c.answers.Check(s, r, c.clock.Now())
		switch verdict {
		case match.Repeated:
			c.distrust(s, verdict, unread)
			c.counters.RepeatedAnswers.Add(1)
		case match.Misplaced:
			c.distrust(s, verdict, unread)
			c.counters.MisplacedAnswers.Add(1)
			return r, verdict, errMisplacedAnswer
		default:
			return r, verdict, nil
		}
	}
}

// distrust records and logs that an answer was not in its place.
func (c *checkedConn) distrust(s stmt.Statement, verdict match.Verdict, unread int) {
	if !c.distrusted {
		c.distrusted = true
		c.counters.DistrustedConnections.Add(1)
	}
	c.logger.Warn("answer out of place", "request", logs.Text(s.ID), "member", c.member.Target, "connection", c.number,
		"verdict", verdict.String(), "answers", c.answers.Answers(), "unreadBefore", unread, "unread", c.Unread())
}

// confirm finds out whether a failure that may have been a second answer belongs to the statement: it sends a guard and reads the next
// answer. If that is the guard's, the failure is the statement's own, provided that no second answer to an earlier guard can be due. If it
// is a success of the statement, that is its own. Otherwise the outcome is unknown.
func (c *checkedConn) confirm(deadline time.Time, s stmt.Statement, failure stmt.Reply, verdict match.Verdict, unread int) (stmt.Reply, error) {
	if verdict == match.Unproved && time.Until(deadline) > 2*match.SettlingTime {
		pause.For(context.Background(), match.SettlingTime)
		if c.Reusable() {
			verdict = match.Unconfirmed
		}
	}
	if err := c.Send(deadline, guard()); err != nil {
		return failure, err
	}
	r, err := c.Receive()
	if err != nil {
		return failure, err
	}
	if verdict == match.Unconfirmed && c.isOwn(guard(), r) {
		return failure, nil
	}
	c.distrust(s, verdict, unread)
	if r.Signature == "" || !c.isOwn(s, r) {
		c.counters.MisplacedAnswers.Add(1)
		return failure, errMisplacedAnswer
	}
	c.counters.RepeatedAnswers.Add(1)
	g, err := c.Receive()
	if err == nil && !c.isOwn(guard(), g) {
		err = errMisplacedAnswer
	}
	return r, err
}

// isOwn reports whether the answer is a success that belongs to the statement.
func (c *checkedConn) isOwn(s stmt.Statement, r stmt.Reply) bool {
	return r.Code == stmt.OK && c.answers.Check(s, r, c.clock.Now()) == match.Own
}

// guard is a statement that changes nothing, holds no slot of the member and is answered unlike the statements of callers. When its
// answer is not in its place, the answers before it were not either.
func guard() stmt.Statement {
	return stmt.Statement{Kind: stmt.Prepare, Name: guardName, Access: stmt.Reads, Shape: guardName}
}

// guardName differs from the names in preparedStatements.
const guardName = "guard"

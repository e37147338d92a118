package group

import (
	"maps"
	"slices"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
)

// pooledConn is a connection to a member, with the session state that is set on it.
type pooledConn struct {
	conn *checkedConn
	// account is the client account to which the connection belongs; empty when it belongs to the instance.
	account types.AccountID
	// openedAt is when it was opened, takenAt when it was last taken, and answeredAt when it was last returned with an answer. returned is its
	// place among the returns to its pool.
	openedAt, takenAt, answeredAt clock.Moment
	returned                      uint64
	// resting is set while an open transaction holds it, which may send nothing for a while.
	resting bool
	values  map[string]string
	// prepared are the statements that are prepared on the connection.
	prepared preparedStatements
	// broken makes the pool close the connection instead of keeping it.
	broken bool
}

func newPooledConn(conn *checkedConn, account types.AccountID) *pooledConn {
	return &pooledConn{conn: conn, account: account, values: map[string]string{}}
}

// setupStatements returns the statements that set the session's values on the connection and prepare the statement. When
// the connection has a value that the session lacks, all its values and prepared statements are discarded first.
func (p *pooledConn) setupStatements(values map[string]string, s stmt.Statement) []stmt.Statement {
	var needed []stmt.Statement
	for name := range p.values {
		if _, kept := values[name]; !kept {
			needed = append(needed, stmt.Statement{Kind: stmt.Discard})
			p.values = map[string]string{}
			p.prepared.discard()
			break
		}
	}
	for name, value := range values {
		if present, set := p.values[name]; !set || present != value {
			needed = append(needed, stmt.Statement{Kind: stmt.Set, Name: name, Value: value})
		}
	}
	if s.Kind == stmt.Execute {
		needed = append(needed, p.prepared.prepare(s.Access, s.Shape)...)
	}
	return needed
}

// setUp runs the setup statements that the statement needs on the connection, and after them the given begin statements.
// False means that the connection cannot be used and the statement has not run.
func (p *pooledConn) setUp(deadline time.Time, values map[string]string, s stmt.Statement, begin ...stmt.Statement) (stmt.Reply, bool) {
	needed := p.setupStatements(values, s)
	if len(needed)+len(begin) == 0 {
		return stmt.Reply{}, true
	}
	needed = append(slices.Grow(needed, len(begin)+1), begin...)
	if len(needed) > 1 || p.conn.answers.Answers() > 0 {
		// A second answer to one of these or to an earlier begin could stand for a refusal; the guard's answer is then out of place.
		needed = append(needed, guard())
	}
	replies, err := p.conn.exchange(deadline, needed...)
	if err != nil {
		p.broken = true
		return stmt.Failure(stmt.Overloaded, err.Error()), false
	}
	for _, r := range replies {
		if r.Code != stmt.OK {
			p.broken = true
			return r, false
		}
	}
	p.values = maps.Clone(values)
	return stmt.Reply{}, true
}

// withPreparedName returns the statement with the name under which setUp has prepared it on the connection.
func (p *pooledConn) withPreparedName(s stmt.Statement) stmt.Statement {
	if s.Kind == stmt.Execute {
		s.Name = p.prepared.name(s.Access, s.Shape)
	}
	return s
}

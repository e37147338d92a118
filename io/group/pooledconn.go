package group

import (
	"maps"
	"time"

	"turmericpulley/core/stmt"
)

// pooledConn is a connection to a member, with the session state that is set on it.
type pooledConn struct {
	conn   Conn
	values map[string]string
	// prepared holds the names of the statements prepared on the connection; see preparedName.
	prepared map[string]bool
	// broken makes the pool close the connection instead of keeping it.
	broken bool
}

// preparedName returns the name under which the statement is prepared on members. It is made from the shape, so that
// sessions with statements of the same shape share it.
func preparedName(s stmt.Statement) string {
	if s.Access == stmt.Writes {
		return "w." + s.Shape
	}
	return "r." + s.Shape
}

// setupStatements returns the statements that set the session's values on the connection and prepare the statement. When
// the connection has a value that the session lacks, all its values and prepared statements are discarded first.
func (p *pooledConn) setupStatements(values map[string]string, s stmt.Statement) []stmt.Statement {
	var needed []stmt.Statement
	for name := range p.values {
		if _, kept := values[name]; !kept {
			needed = append(needed, stmt.Statement{Kind: stmt.Discard})
			p.values, p.prepared = map[string]string{}, map[string]bool{}
			break
		}
	}
	for name, value := range values {
		if present, set := p.values[name]; !set || present != value {
			needed = append(needed, stmt.Statement{Kind: stmt.Set, Name: name, Data: value})
		}
	}
	if s.Kind == stmt.Execute && !p.prepared[preparedName(s)] {
		needed = append(needed, stmt.Statement{Kind: stmt.Prepare, Name: preparedName(s), Access: s.Access, Shape: s.Shape})
	}
	return needed
}

// setUp runs the setup statements that the statement needs on the connection, and after them the given begin statements.
// False means that the connection cannot be used and the statement has not run.
func (p *pooledConn) setUp(deadline time.Time, values map[string]string, s stmt.Statement, begin ...stmt.Statement) (stmt.Reply, bool) {
	needed := append(p.setupStatements(values, s), begin...)
	if len(needed) == 0 {
		return stmt.Reply{}, true
	}
	replies, err := p.conn.Exchange(deadline, needed...)
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
	if s.Kind == stmt.Execute {
		p.prepared[preparedName(s)] = true
	}
	return stmt.Reply{}, true
}

// withPreparedName returns the statement with the name under which it is prepared on members.
func withPreparedName(s stmt.Statement) stmt.Statement {
	if s.Kind == stmt.Execute {
		s.Name = preparedName(s)
	}
	return s
}

package group

import (
	"maps"
	"time"

	"turmericpulley/core/stmt"
)

// pooledConn is a connection to a member with the session state that it holds.
type pooledConn struct {
	conn   Conn
	values map[string]string
	// prepared holds the names of the statements prepared on it, which are made from their shapes.
	prepared map[string]bool
	// broken connections are closed instead of pooled.
	broken bool
}

// preparedName returns the name under which a shape is prepared on members; sessions that use the same shape share it.
func preparedName(s stmt.Statement) string {
	if s.Access == stmt.Writes {
		return "w." + s.Shape
	}
	return "r." + s.Shape
}

// setupStatements returns the statements that give the connection the session's values and the prepared statement.
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

// setUp makes the connection fit for the statement; false means that the connection cannot be used and nothing ran.
func (p *pooledConn) setUp(deadline time.Time, values map[string]string, s stmt.Statement, open ...stmt.Statement) (stmt.Reply, bool) {
	needed := append(p.setupStatements(values, s), open...)
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

// withPreparedName returns the statement as this connection knows it.
func withPreparedName(s stmt.Statement) stmt.Statement {
	if s.Kind == stmt.Execute {
		s.Name = preparedName(s)
	}
	return s
}

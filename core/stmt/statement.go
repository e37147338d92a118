package stmt

import "turmericpulley/core/types"

// Statement is one statement of a caller or of the proxy itself.
type Statement struct {
	// ID is the id that the caller gave the statement; empty for the proxy's own statements.
	ID   string
	Kind Kind
	// Name is the name of a session value or of a prepared statement.
	Name string
	// Access and Shape describe a prepared statement.
	Access Access
	Shape  string
	// Arguments are the item of a read, or the item and the data of a write or an execution, as the caller wrote them. Only the
	// member takes them apart.
	Arguments string
	// Value is the session value that Set sets.
	Value string
	// MinPosition makes a member refuse a read or a begin unless its log reaches the position; zero sets no minimum.
	MinPosition types.LogPosition
	// Term is the term of a StepDown.
	Term types.Term
}

// Writes reports whether the statement itself writes data.
func (s Statement) Writes() bool {
	return s.Kind == Write || s.Kind == Execute && s.Access == Writes
}

// Reads reports whether the statement only reads data.
func (s Statement) Reads() bool {
	return s.Kind == Read || s.Kind == Execute && s.Access == Reads
}

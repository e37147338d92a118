package group

import (
	"time"

	"turmericpulley/core/place"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
)

// Request is one statement of a session with what decides how it is served.
type Request struct {
	Statement stmt.Statement
	// InTransaction marks a statement of an open transaction.
	InTransaction bool
	// BeginsReadWrite and OpensRead mark the first statement of a transaction that may write, or that only reads.
	BeginsReadWrite bool
	BeginsReadOnly  bool
	// Rollback ends the transaction without keeping it; there is no statement.
	Rollback bool
	// AllowReplicas allows data that is at most MaxAge old and includes the session's own commits up to Own.
	AllowReplicas bool
	MaxAge        time.Duration
	LastCommit    types.LogPosition
	// Objective and Limit are the time left until the answer should and must be there.
	Objective time.Duration
	Timeout   time.Duration
	Priority  int
	Class     place.Class
	// Values are the session's values; nil means that they are unchanged.
	Values map[string]string
}

// Begins reports whether the statement is the first of a transaction.
func (w Request) Begins() bool { return w.BeginsReadWrite || w.BeginsReadOnly }

// Continues reports whether the statement belongs to a transaction that the owner has begun already.
func (w Request) Continues() bool { return w.InTransaction && !w.Begins() }

// IsReadOnly reports whether the work changes nothing.
func (w Request) IsReadOnly() bool {
	return w.Statement.Reads() && !w.InTransaction || w.BeginsReadOnly
}

// Retryable reports whether the work may run again although its answer is missing: reads change nothing, and the write
// of a transaction whose connection was closed is rolled back.
func (w Request) Retryable() bool { return w.IsReadOnly() || w.Begins() }

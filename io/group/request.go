package group

import (
	"time"

	"turmericpulley/core/place"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
)

// Request is one statement of a session, with the parameters that decide how it is served.
type Request struct {
	Statement stmt.Statement
	// Account is the client account of the caller; empty when the configuration has none, and on public routes.
	Account types.AccountID
	// InTransaction marks a statement of an open transaction.
	InTransaction bool
	// BeginsReadWrite and BeginsReadOnly mark the first statement of a transaction that may write, or that only reads.
	BeginsReadWrite bool
	BeginsReadOnly  bool
	// Rollback rolls the transaction back; the request has no statement.
	Rollback bool
	// AllowReplicas lets a replica serve the request if its data is at most MaxAge old and includes the session's own
	// commits, the newest of which is at LastCommit.
	AllowReplicas bool
	MaxAge        time.Duration
	LastCommit    types.LogPosition
	// Objective is the time left until the reply should be there, Timeout the time left until it must be there.
	Objective time.Duration
	Timeout   time.Duration
	Priority  int
	Class     place.Class
	// Values are the session's values; nil means that they have not changed.
	Values map[string]string
}

// Begins reports whether the statement is the first of a transaction.
func (r Request) Begins() bool { return r.BeginsReadWrite || r.BeginsReadOnly }

// Continues reports whether the statement belongs to a transaction that the owner has begun already.
func (r Request) Continues() bool { return r.InTransaction && !r.Begins() }

// IsReadOnly reports whether the request is a read outside a transaction or the first statement of a read-only transaction.
func (r Request) IsReadOnly() bool {
	return r.Statement.Reads() && !r.InTransaction || r.BeginsReadOnly
}

// Retryable reports whether the request may run again when its reply was lost. Reads change nothing, and the write
// that begins a transaction is rolled back when its connection is closed.
func (r Request) Retryable() bool { return r.IsReadOnly() || r.Begins() }

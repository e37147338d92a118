package group

import (
	"time"

	"turmericpulley/core/place"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
)

// Work is one statement of a session with what decides how it is served.
type Work struct {
	Statement stmt.Statement
	// Inside marks a statement of an open transaction.
	Inside bool
	// Opens and OpensRead mark the first statement of a transaction that may write, or that only reads.
	Opens     bool
	OpensRead bool
	// Abandon ends the transaction without keeping it; there is no statement.
	Abandon bool
	// Replicas allows data that is at most MaxAge old and includes the session's own commits up to Own.
	Replicas bool
	MaxAge   time.Duration
	Own      types.LogPosition
	// Objective and Limit are the time left until the answer should and must be there.
	Objective time.Duration
	Limit     time.Duration
	Priority  int
	Class     place.Class
	// Values are the session's values; nil means that they are unchanged.
	Values map[string]string
}

// Begins reports whether the statement is the first of a transaction.
func (w Work) Begins() bool { return w.Opens || w.OpensRead }

// Continues reports whether the statement belongs to a transaction that the owner has begun already.
func (w Work) Continues() bool { return w.Inside && !w.Begins() }

// Reads reports whether the work changes nothing.
func (w Work) Reads() bool { return w.Statement.Reads() && !w.Inside || w.OpensRead }

// Repeatable reports whether the work may run again although its answer is missing: reads change nothing, and the write
// of a transaction whose connection was closed is rolled back.
func (w Work) Repeatable() bool { return w.Reads() || w.Begins() }

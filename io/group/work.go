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

// reads reports whether the work changes nothing and may be sent again.
func (w Work) reads() bool { return w.Statement.Reads() && !w.Inside || w.OpensRead }

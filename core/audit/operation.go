package audit

import "turmericpulley/core/types"

// Operation is one request of a session on one row, with its outcome.
type Operation struct {
	Session    types.SessionName
	Customer   types.AccountID
	Row        Row
	Kind       Kind
	RequestKey types.RequestKey
	// Transaction is the same for all operations of one transaction; these take effect together.
	Transaction TransactionID
	// Value is the version written, the amount added, or what a read returned; zero for a read of a missing row.
	Value    Value
	Invoked  Moment
	Returned Moment
	Outcome  Outcome
	// SQLState is the code of the error. It is empty if there was no error or the error has no code, as when the connection
	// broke or an update found no row.
	SQLState SQLState
	// ServedBy is the role of the member that served the operation.
	ServedBy MemberRole
}

// isWrite reports whether the operation may change its row.
func (o Operation) isWrite() bool { return o.Kind != Read }

// mayHaveRun reports whether the operation may have taken effect, according to its outcome.
func (o Operation) mayHaveRun() bool { return o.Outcome == Acknowledged || o.Outcome == Unknown }

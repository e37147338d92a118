package stmt

// State is the state of a session between statements.
type State int

const (
	// Idle is outside of a transaction.
	Idle State = iota
	// InTransaction is inside a transaction.
	InTransaction
	// InFailedTransaction is inside a transaction that failed and waits for its end.
	InFailedTransaction
)

package stmt

// State is the transaction state of a session between statements.
type State int

const (
	// Idle means that no transaction is open.
	Idle State = iota
	// InTransaction means that a transaction is open.
	InTransaction
	// InFailedTransaction means that the open transaction has failed and can only be ended.
	InFailedTransaction
)

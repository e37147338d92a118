package pgsrv

// transactionState says whether a transaction is open and, if it is not, what the caller has been sent about its end.
type transactionState int

const (
	// transactionOpen means that the transaction has neither ended nor failed.
	transactionOpen transactionState = iota
	// transactionLost means that the transaction failed and the caller has not been sent an error, because no batch was in
	// flight or because a write to the caller failed.
	transactionLost
	// transactionFailed means that the proxy has sent the caller an error; ReadyForQuery follows at the end of the batch.
	transactionFailed
	// transactionAnswered means that the caller has been sent the whole answer, including ReadyForQuery.
	transactionAnswered
)

package pgsrv

// transactionState says whether a transaction goes on and whether its caller knows how it ended.
type transactionState int

const (
	// transactionOpen means that the owner is there.
	transactionOpen transactionState = iota
	// transactionLost means that it failed between two batches and the caller has not been told.
	transactionLost
	// transactionFailed means that the caller has got an error and ReadyForQuery is due at the end of the batch.
	transactionFailed
	// transactionAnswered means that the caller has got the whole answer.
	transactionAnswered
)

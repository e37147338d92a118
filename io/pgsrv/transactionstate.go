package pgsrv

// transactionState is the state of a transaction: open, or failed or ended and how much of that the caller has been sent.
type transactionState int

const (
	// transactionOpen means that the transaction has neither ended nor failed.
	transactionOpen transactionState = iota
	// transactionLost means that the transaction failed between two batches and the caller has not received an error.
	transactionLost
	// transactionFailed means that the caller has received an error; ReadyForQuery follows at the end of the batch.
	transactionFailed
	// transactionAnswered means that the caller has received the whole answer.
	transactionAnswered
)

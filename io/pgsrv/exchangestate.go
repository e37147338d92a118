package pgsrv

// exchangeState says whether a transaction goes on and whether its caller knows how it ended.
type exchangeState int

const (
	// exchangeOpen means that the owner is there.
	exchangeOpen exchangeState = iota
	// exchangeLost means that it failed between two batches and the caller has not been told.
	exchangeLost
	// exchangeFailed means that the caller has got an error and ReadyForQuery is due at the end of the batch.
	exchangeFailed
	// exchangeOver means that the caller has got the whole answer.
	exchangeOver
)

package owner

// attemptOutcome is how an attempt to run a transaction on a replica ended.
type attemptOutcome int

const (
	// outcomeFinal means that the caller has its answer, or a refusal that is final.
	outcomeFinal attemptOutcome = iota
	// outcomeTryAnother means that another replica may be tried.
	outcomeTryAnother
	// outcomeTryPrimary means that only the primary can run the transaction.
	outcomeTryPrimary
)

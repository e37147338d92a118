package owner

// attemptOutcome is how an attempt to run a transaction on a replica ended.
type attemptOutcome int

const (
	// outcomeFinal means that the caller has its answer or gets an error, and nothing else is tried.
	outcomeFinal attemptOutcome = iota
	// outcomeTryAnother means that the next replica may be tried.
	outcomeTryAnother
	// outcomeTryPrimary means that only the primary can run the transaction.
	outcomeTryPrimary
)

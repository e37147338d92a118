package owner

// attempt is how an attempt to run a transaction on a replica ended.
type attempt int

const (
	// answered means that the caller has its answer, or a refusal that is final.
	answered attempt = iota
	// tryAnother means that another replica may be tried.
	tryAnother
	// tryPrimary means that only the primary can run the transaction.
	tryPrimary
)

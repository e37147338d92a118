package logs

// Messages of lines that explain refusals of other lines, by their account or their instance.
const (
	OverLimit  = "account over its limit"
	ProofOfAge = "proof of the configuration's age"
)

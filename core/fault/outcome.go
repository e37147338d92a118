package fault

// Outcome is what is known about the effects of a request that got no normal answer.
type Outcome int

const (
	// NotRun means that the request had no effect and may be sent again.
	NotRun Outcome = iota + 1
	// Unknown means that the request may or may not have taken effect.
	Unknown
	// Failed means that the request ended with an error and that sending it again is of no use.
	Failed
)

// String returns the outcome in words.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not run"
	case Unknown:
		return "outcome unknown"
	case Failed:
		return "failed"
	default:
		return "undefined outcome"
	}
}

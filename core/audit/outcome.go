package audit

// Outcome says what the caller knows about the effect of an operation.
type Outcome int

const (
	// Acknowledged means that the operation took effect.
	Acknowledged Outcome = iota + 1
	// NotRun means that the operation had no effect: the response said so, or the client did not send it or did not commit it.
	NotRun
	// Unknown means that the operation may or may not have taken effect.
	Unknown
	// Failed means that the operation had no effect, because it or its transaction ended with an error or found no row to
	// update.
	Failed
)

// Outcomes lists every outcome in the order in which reports list them.
func Outcomes() []Outcome { return []Outcome{Acknowledged, NotRun, Unknown, Failed} }

// String returns the outcome as written in reports.
func (o Outcome) String() string {
	switch o {
	case Acknowledged:
		return "acknowledged"
	case NotRun:
		return "notRun"
	case Unknown:
		return "unknown"
	case Failed:
		return "failed"
	default:
		return "undefined"
	}
}

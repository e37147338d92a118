package audit

// Outcome says what the caller knows about the effect of an operation.
type Outcome int

const (
	// Acknowledged means that the operation took effect.
	Acknowledged Outcome = iota + 1
	// NotRun means that the response said that the operation had no effect.
	NotRun
	// Unknown means that the operation may or may not have taken effect.
	Unknown
	// Failed means that a database ran the operation and rejected it with an error.
	Failed
)

// Outcomes lists every outcome in the order of reports.
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

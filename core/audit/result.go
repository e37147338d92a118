package audit

// Result is the result of checking a history.
type Result struct {
	LostWrites    int       `json:"lostWrites"`
	DoubledWrites int       `json:"doubledWrites"`
	FalseRefusals int       `json:"falseRefusals"`
	StaleReads    int       `json:"staleReads"`
	Findings      []Finding `json:"findings,omitempty"`
}

// Clean reports whether the check found no violation.
func (r Result) Clean() bool { return len(r.Findings) == 0 }

func (r *Result) add(findings ...Finding) {
	for _, f := range findings {
		switch f.Violation {
		case LostWrite:
			r.LostWrites += f.Count
		case DoubledWrite:
			r.DoubledWrites += f.Count
		case FalseRefusal:
			r.FalseRefusals += f.Count
		case StaleRead:
			r.StaleReads += f.Count
		}
	}
	r.Findings = append(r.Findings, findings...)
}

package audit

// Result is the result of checking a history.
type Result struct {
	LostWrites    int       `json:"lostWrites"`
	DoubledWrites int       `json:"doubledWrites"`
	FalseRefusals int       `json:"falseRefusals"`
	StaleReads    int       `json:"staleReads"`
	Findings      []Finding `json:"findings,omitempty"`
}

// Clean reports whether the history breaks no promise.
func (v Result) Clean() bool { return len(v.Findings) == 0 }

func (v *Result) add(findings ...Finding) {
	for _, f := range findings {
		switch f.Violation {
		case LostWrite:
			v.LostWrites += f.Count
		case DoubledWrite:
			v.DoubledWrites += f.Count
		case FalseRefusal:
			v.FalseRefusals += f.Count
		case StaleRead:
			v.StaleReads += f.Count
		}
	}
	v.Findings = append(v.Findings, findings...)
}

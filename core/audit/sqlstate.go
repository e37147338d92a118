package audit

// SQLState is a five-character error code of PostgreSQL.
type SQLState string

// Outcome returns the outcome of an operation that ended with an error of this code.
func (s SQLState) Outcome() Outcome {
	switch s {
	case "57P03", "53300", "53400", "28000", "3D000", "08P01":
		return NotRun
	case "08000", "08001", "08003", "08004", "08006", "08007", "40003", "57014", "57P01", "57P02":
		return Unknown
	default:
		return Failed
	}
}

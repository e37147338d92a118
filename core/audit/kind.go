package audit

// Kind says what an operation does to its row.
type Kind int

const (
	// Insert adds a row with a unique id.
	Insert Kind = iota + 1
	// Write sets the version of a row; versions of one row only grow.
	Write
	// Increment adds the value to a counter.
	Increment
	// Read returns the version of a row or the value of a counter.
	Read
)

// String returns the kind as written in reports.
func (k Kind) String() string {
	switch k {
	case Insert:
		return "insert"
	case Write:
		return "write"
	case Increment:
		return "increment"
	case Read:
		return "read"
	default:
		return "undefined"
	}
}

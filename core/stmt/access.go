package stmt

// Access says whether a prepared statement reads or writes.
type Access int

const (
	// Reads marks a statement that only reads.
	Reads Access = iota + 1
	// Writes marks a statement that writes.
	Writes
)

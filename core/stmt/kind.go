package stmt

// Kind says what a statement does.
type Kind int

const (
	// Begin opens a transaction that may write.
	Begin Kind = iota + 1
	// BeginRead opens a transaction that only reads.
	BeginRead
	// Commit ends a transaction and keeps its writes.
	Commit
	// Rollback ends a transaction and drops its writes.
	Rollback
	// Read reads one item.
	Read
	// Write writes one item.
	Write
	// Set gives a session value.
	Set
	// Prepare names a statement of a shape.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate forgets a prepared statement.
	Deallocate
	// Discard clears the values and prepared statements of a connection.
	Discard
	// Status asks a member about itself.
	Status
	// StepDown makes a primary of a lower term a replica.
	StepDown
)

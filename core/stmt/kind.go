package stmt

// Kind is what a statement does.
type Kind int

const (
	// Begin starts a transaction that may write.
	Begin Kind = iota + 1
	// BeginRead starts a transaction that only reads.
	BeginRead
	// Commit commits a transaction.
	Commit
	// Rollback rolls a transaction back.
	Rollback
	// Read reads one item.
	Read
	// Write writes one item.
	Write
	// Set sets a session value.
	Set
	// Prepare prepares a statement of a shape under a name.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate drops a prepared statement.
	Deallocate
	// Discard drops the session values and prepared statements of a connection.
	Discard
	// Status asks a member for its status.
	Status
	// StepDown turns a primary of a lower term into a replica.
	StepDown
)

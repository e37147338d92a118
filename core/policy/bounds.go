package policy

import "time"

// Limits of the values in documents.
const (
	// MaxDocumentBytes is the longest document; the platform's store holds no longer value.
	MaxDocumentBytes = 1_000_000
	// MaxNameLength is the longest name in bytes, which is PostgreSQL's limit for its names.
	MaxNameLength = 63
	// MaxGroups is the largest number of groups that one contract allows.
	MaxGroups = 1_000
	// MaxConnections is the largest number of connections to one target.
	MaxConnections = 10_000
	// MaxRequestRate is the highest limit in requests per second.
	MaxRequestRate = 1_000_000
	// MaxQueueLength is the largest number of requests that wait in one queue.
	MaxQueueLength = 100_000
	// MaxWeight is the highest weight, a customer's relative share of a contended target.
	MaxWeight = 1_000
	// MaxHistory is the number of earlier versions that a contract lists.
	MaxHistory = 20
	// MaxSlots is the largest number of statements that one member runs at once.
	MaxSlots = 10_000
	// MaxReadAgeLimit is the highest maxReadAge that a contract may set.
	MaxReadAgeLimit = 24 * time.Hour
	// MinTimeout is the shortest timeout of a contract.
	MinTimeout = time.Millisecond
	// MaxQueueTimeout is the highest queueTimeout that a contract may set.
	MaxQueueTimeout = 5 * time.Minute
	// MaxStatementTimeout is the highest statementTimeout that a contract may set.
	MaxStatementTimeout = time.Hour
)

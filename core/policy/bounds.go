package policy

import "time"

// Bounds of the values in documents.
const (
	// MaxDocumentBytes is the longest document, which is the longest value of the platform's store.
	MaxDocumentBytes = 1_000_000
	// MaxNameLength is the longest name in bytes, as PostgreSQL bounds its own names.
	MaxNameLength = 63
	// MaxGroups is the most groups that one contract reaches.
	MaxGroups = 1_000
	// MaxConnections is the most connections to one target.
	MaxConnections = 10_000
	// MaxRequestRate is the highest limit in requests per second.
	MaxRequestRate = 1_000_000
	// MaxQueueLength is the most requests that wait in one queue.
	MaxQueueLength = 100_000
	// MaxWeight is the largest share of a contended target.
	MaxWeight = 1_000
	// MaxHistory is the number of earlier versions that a contract remembers.
	MaxHistory = 20
	// MaxSlots is the most statements that one member runs at once.
	MaxSlots = 10_000
	// MaxReadAgeLimit is the oldest data that a contract may allow.
	MaxReadAgeLimit = 24 * time.Hour
	// MinTimeout is the shortest timeout of a contract.
	MinTimeout = time.Millisecond
	// MaxQueueTimeout is the longest wait for a connection.
	MaxQueueTimeout = 5 * time.Minute
	// MaxStatementTimeout is the longest time for one request.
	MaxStatementTimeout = time.Hour
)

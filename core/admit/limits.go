package admit

import "time"

// Limits are the parts of a contract that admission needs.
type Limits struct {
	// Connections is the most grants that the customer holds at once.
	Connections int
	// QueueLength is the most requests of the customer that wait.
	QueueLength int
	// QueueTimeout is the longest wait.
	QueueTimeout time.Duration
	// Weight is the customer's share relative to other customers.
	Weight int
}

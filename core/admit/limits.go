package admit

import "time"

// Limits are the parts of a customer's contract that the connection limiter needs.
type Limits struct {
	// Connections is the largest number of grants that the customer holds at once.
	Connections int
	// QueueLength is the largest number of waiting requests of the customer.
	QueueLength int
	// QueueTimeout is the longest time that a request waits.
	QueueTimeout time.Duration
	// Weight is the customer's share of grants relative to other customers.
	Weight int
}

package policy

import "time"

// Defaults of the optional fields of a contract.
const (
	DefaultQueueLength      = 64
	DefaultQueueTimeout     = 2 * time.Second
	DefaultStatementTimeout = 5 * time.Second
	DefaultWeight           = 1
)

// WithDefaults returns the contract with the defaults in place of fields that were left out.
func (c Contract) WithDefaults() Contract {
	if c.QueueLength == 0 {
		c.QueueLength = DefaultQueueLength
	}
	if c.QueueTimeout == 0 {
		c.QueueTimeout = Duration(DefaultQueueTimeout)
	}
	if c.StatementTimeout == 0 {
		c.StatementTimeout = Duration(DefaultStatementTimeout)
	}
	if c.Weight == 0 {
		c.Weight = DefaultWeight
	}
	return c
}

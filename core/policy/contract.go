package policy

import (
	"time"

	"turmericpulley/core/types"
)

// Contract is all that an operator decides about one customer.
type Contract struct {
	Customer types.CustomerID `json:"customer"`
	// Groups lists the groups that the customer reaches.
	Groups []types.GroupID `json:"groups"`
	// Connections is the most connections to any one target that the customer uses at once.
	Connections int `json:"connections"`
	// MaxReadAge is the oldest data that a read of the customer may see; zero sends every read to the primary.
	MaxReadAge Duration `json:"maxReadAge"`
	// RequestRate is the most requests per second to one database; zero means no limit.
	RequestRate int `json:"requestRate,omitempty"`
	// QueueLength is the most requests that wait for a connection to one database.
	QueueLength int `json:"queueLength,omitempty"`
	// QueueTimeout is the longest that a request waits for a connection.
	QueueTimeout Duration `json:"queueTimeout,omitempty"`
	// StatementTimeout is the longest that a request may take once it has been sent to a target.
	StatementTimeout Duration `json:"statementTimeout,omitempty"`
	// Weight is the customer's share of a contended target relative to other customers.
	Weight int `json:"weight,omitempty"`
	// ChangeID identifies the change that produced this version of the contract.
	ChangeID string `json:"changeId,omitempty"`
	// ChangedAt is when that change was made, by the operator's clock.
	ChangedAt time.Time `json:"changedAt,omitzero"`
	// Operator is who made that change.
	Operator string `json:"operator,omitempty"`
	// History lists the changes before that one, newest first.
	History []Change `json:"history,omitempty"`
}

// AllowsGroup reports whether the contract allows the group.
func (c Contract) AllowsGroup(group types.GroupID) bool {
	for _, g := range c.Groups {
		if g == group {
			return true
		}
	}
	return false
}

// IncludesChange reports whether the contract is the outcome of the change or of one that replaced it.
func (c Contract) IncludesChange(changeID string) bool {
	if c.ChangeID == changeID {
		return true
	}
	for _, change := range c.History {
		if change.ChangeID == changeID {
			return true
		}
	}
	return false
}

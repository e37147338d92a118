package policy

import (
	"time"

	"turmericpulley/core/acct"
	"turmericpulley/core/types"
)

// Contract holds everything that an operator sets for one customer.
type Contract struct {
	Customer types.AccountID `json:"customer"`
	// Groups lists the database groups that the customer may use.
	Groups []types.GroupID `json:"groups"`
	// Connections is the largest number of connections to one target that the customer may use at once.
	Connections int `json:"connections"`
	// MaxReadAge is the highest age of the data that a read may return; zero sends every read to the primary.
	MaxReadAge Duration `json:"maxReadAge"`
	// RequestRate is the largest number of requests per second to one database; zero means no limit.
	RequestRate int `json:"requestRate,omitempty"`
	// QueueLength is the largest number of requests that may wait for a connection to one target.
	QueueLength int `json:"queueLength,omitempty"`
	// QueueTimeout is how long a request may wait for a connection.
	QueueTimeout Duration `json:"queueTimeout,omitempty"`
	// StatementTimeout is how long a request may take once it has been sent to a target.
	StatementTimeout Duration `json:"statementTimeout,omitempty"`
	// Weight is the customer's share of a contended target relative to other customers.
	Weight int `json:"weight,omitempty"`
	// ChangeID identifies the change that led to this version of the contract.
	ChangeID string `json:"changeId,omitempty"`
	// ChangedAt is when that change was made, by the operator's clock.
	ChangedAt time.Time `json:"changedAt,omitzero"`
	// Operator names who made that change.
	Operator string `json:"operator,omitempty"`
	// History lists the earlier changes, newest first.
	History []Change `json:"history,omitempty"`
}

// burstPeriod is the time for which a customer's unused requests accumulate.
const burstPeriod = time.Second

// Limit returns the limit of the customer's requests to one database.
func (c Contract) Limit() acct.Limit {
	rate := float64(c.RequestRate)
	return acct.Limit{Unlimited: c.RequestRate <= 0, Rate: rate, Burst: rate * burstPeriod.Seconds()}
}

// AllowsGroup reports whether the customer may use the group.
func (c Contract) AllowsGroup(group types.GroupID) bool {
	for _, g := range c.Groups {
		if g == group {
			return true
		}
	}
	return false
}

// IncludesChange reports whether the change led to this version of the contract or to an earlier one in its history.
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

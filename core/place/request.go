package place

import (
	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

// Class groups statements with similar service times.
type Class string

// SlotRequest says what a statement needs from a member.
type SlotRequest struct {
	Class Class
	// Account is the client account on whose connections the statement runs; empty for connections that belong to no account.
	Account types.AccountID
	// Weight is the account's part of the members in proportion to others; zero is the mean of those that have one, or
	// what the account usually uses if none has.
	Weight float64
	// Priority orders statements; zero is the most important.
	Priority int
	// Objective is when the answer should be there, Deadline the moment after which it is of no use.
	Objective clock.Moment
	Deadline  clock.Moment
	// Pinned is the member whose connection the open transaction holds; it is empty outside of a transaction.
	Pinned types.TargetID
	// AllowReplicas allows replicas that have applied MinPosition.
	AllowReplicas bool
	MinPosition   types.LogPosition
	// BeginsTransaction marks the first statement of a transaction, which keeps its connection.
	BeginsTransaction bool
	// Avoid is a member that has just failed the statement; other members are preferred.
	Avoid types.TargetID
}

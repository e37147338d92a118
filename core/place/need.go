package place

import (
	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

// Class names a kind of work whose durations are alike.
type Class string

// SlotRequest says what a statement asks of a member.
type SlotRequest struct {
	Class Class
	// Priority orders work; zero is the most important.
	Priority int
	// Objective is when the answer should be there, Deadline when it is of no use any more.
	Objective clock.Moment
	Deadline  clock.Moment
	// Pinned is the member whose connection the transaction holds; empty for new work.
	Pinned types.TargetID
	// AllowReplicas allows replicas whose log holds Floor.
	AllowReplicas bool
	MinPosition   types.LogPosition
	// BeginsTransaction marks the first statement of a transaction, which keeps its connection.
	BeginsTransaction bool
	// Avoid is a member that has just failed the statement; another is preferred.
	Avoid types.TargetID
}

package admin

import "turmericpulley/core/types"

// Outcome says what became of a change.
type Outcome string

const (
	// Accepted means that the change is stored and that no instance takes new work by an older contract.
	Accepted Outcome = "accepted"
	// Conflict means that another operator's change came first and that this one had no effect.
	Conflict Outcome = "conflict"
	// Pending means that the change is stored but not confirmed to be in force everywhere.
	Pending Outcome = "pending"
	// Unknown means that it could not be learned whether the change was stored.
	Unknown Outcome = "unknown"
	// NotRun means that the change was not stored.
	NotRun Outcome = "notRun"
)

// Result is what became of a change.
type Result struct {
	Outcome  Outcome          `json:"outcome"`
	Customer types.CustomerID `json:"customer"`
	ChangeID string           `json:"changeId,omitempty"`
	// Revision is the stored version of this change, or the present one after a conflict.
	Revision types.Revision     `json:"revision,omitempty"`
	InForce  []types.InstanceID `json:"inForce,omitempty"`
	Waiting  []types.InstanceID `json:"waiting,omitempty"`
	Isolated []types.InstanceID `json:"isolated,omitempty"`
	Removed  []types.InstanceID `json:"removed,omitempty"`
	// Detail says what happened and what to do about it.
	Detail string `json:"detail,omitempty"`
}

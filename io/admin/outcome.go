package admin

import "turmericpulley/core/types"

// Outcome is the outcome of a change.
type Outcome string

const (
	// Accepted means that the change is stored and that no instance takes new work under an older contract.
	Accepted Outcome = "accepted"
	// Conflict means that the contract is no longer the version that the change is based on, and that the change was not stored.
	Conflict Outcome = "conflict"
	// Pending means that the change is stored but not confirmed to be in force everywhere.
	Pending Outcome = "pending"
	// Unknown means that it could not be determined whether the change was stored.
	Unknown Outcome = "unknown"
	// NotRun means that the change was not stored.
	NotRun Outcome = "notRun"
)

// Result is the outcome of a change with the state of the instances.
type Result struct {
	Outcome  Outcome         `json:"outcome"`
	Customer types.AccountID `json:"customer"`
	ChangeID string          `json:"changeId,omitempty"`
	// Revision is the revision at which this change was stored, or the present revision after a conflict.
	Revision types.Revision `json:"revision,omitempty"`
	// InForce lists the instances that have the change, or a later one, in force.
	InForce []types.InstanceID `json:"inForce,omitempty"`
	// Waiting lists the instances that may still take new work under an older contract.
	Waiting []types.InstanceID `json:"waiting,omitempty"`
	// Isolated lists the unreachable instances that no longer take new work.
	Isolated []types.InstanceID `json:"isolated,omitempty"`
	// Removed lists the instances outside the membership that are not known to have the change in force.
	Removed []types.InstanceID `json:"removed,omitempty"`
	// Detail tells the operator what happened and what to do about it.
	Detail string `json:"detail,omitempty"`
}

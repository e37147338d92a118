package policy

import (
	"time"

	"turmericpulley/core/types"
)

// Change records one earlier version of a contract.
type Change struct {
	ChangeID string `json:"changeId"`
	// Revision is the revision under which the store held this version.
	Revision  types.Revision `json:"revision"`
	ChangedAt time.Time      `json:"changedAt,omitzero"`
	Operator  string         `json:"operator,omitempty"`
}

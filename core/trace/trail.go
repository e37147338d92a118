package trace

import "turmericpulley/core/types"

// Trail is what one instance remembers of one request.
type Trail struct {
	RequestID ID                `json:"requestId"`
	Instance  types.InstanceID  `json:"instance"`
	Customer  types.CustomerID  `json:"customer"`
	Database  types.DatabaseID  `json:"database"`
	Session   types.SessionName `json:"session,omitempty"`
	Events    []Event           `json:"events"`
	// Dropped counts events beyond the most that a trail holds.
	Dropped int `json:"dropped,omitempty"`
}

package trace

import "turmericpulley/core/types"

// Trace is what one instance remembers of one request.
type Trace struct {
	RequestID ID                `json:"requestId"`
	Instance  types.InstanceID  `json:"instance"`
	Customer  types.CustomerID  `json:"customer"`
	Database  types.DatabaseID  `json:"database"`
	Session   types.SessionName `json:"session,omitempty"`
	Events    []Event           `json:"events"`
	// Dropped counts events beyond the most that a trail holds.
	Dropped int `json:"dropped,omitempty"`
}

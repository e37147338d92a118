package trace

import "turmericpulley/core/types"

// Trace is what one instance has recorded about one request.
type Trace struct {
	RequestID ID                `json:"requestId"`
	Instance  types.InstanceID  `json:"instance"`
	Customer  types.AccountID   `json:"customer"`
	Database  types.DatabaseID  `json:"database"`
	Session   types.SessionName `json:"session,omitempty"`
	Events    []Event           `json:"events"`
	// Dropped counts the events that were dropped because the trace was full.
	Dropped int `json:"dropped,omitempty"`
}

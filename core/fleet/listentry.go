package fleet

import "turmericpulley/core/types"

// ListEntry is one entry of the platform's list of instances and targets; the list lags behind their actual state.
type ListEntry struct {
	ID         string           `json:"id"`
	Kind       EntryKind        `json:"kind"`
	Address    string           `json:"address"`
	DataCentre types.DataCentre `json:"dataCentre"`
	State      State            `json:"state"`
}

// EntryKind distinguishes instances of the proxy from targets.
type EntryKind string

const (
	// InstanceEntry marks an instance of the proxy.
	InstanceEntry EntryKind = "instance"
	// TargetEntry marks a member of a database.
	TargetEntry EntryKind = "target"
)

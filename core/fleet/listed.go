package fleet

import "turmericpulley/core/types"

// Listed is one line of the platform's lagging list of instances and targets.
type Listed struct {
	ID         string           `json:"id"`
	Kind       ListedKind       `json:"kind"`
	Address    string           `json:"address"`
	DataCentre types.DataCentre `json:"dataCentre"`
	State      State            `json:"state"`
}

// ListedKind tells instances of the proxy from targets.
type ListedKind string

const (
	// ListedInstance marks an instance of the proxy.
	ListedInstance ListedKind = "instance"
	// ListedTarget marks a member of a database.
	ListedTarget ListedKind = "target"
)

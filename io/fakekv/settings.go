package fakekv

import "turmericpulley/core/types"

// Settings configures a stand-in for the platform.
type Settings struct {
	// Address is the IP address and port to listen on; port 0 picks a free port.
	Address string
	// Seed holds the initial values by key.
	Seed map[string]string
	// Targets is the initial target list.
	Targets []Target
}

// Target is one entry of the platform's list of instances and targets.
type Target struct {
	ID         string           `json:"id"`
	Kind       TargetKind       `json:"kind"`
	Address    string           `json:"address"`
	DataCentre types.DataCentre `json:"dataCentre"`
	State      TargetState      `json:"state"`
}

// TargetKind distinguishes instances from database members in the target list.
type TargetKind string

const (
	// KindInstance marks an instance of the proxy.
	KindInstance TargetKind = "instance"
	// KindTarget marks a database member.
	KindTarget TargetKind = "target"
)

// TargetState tells whether an instance or a member in the target list serves requests.
type TargetState string

const (
	// StateLive marks an instance or a member that serves requests.
	StateLive TargetState = "live"
	// StateLeaving marks an instance or a member that is about to stop.
	StateLeaving TargetState = "leaving"
)

package fakekv

import "turmericpulley/core/types"

// Settings configures a platform stand-in.
type Settings struct {
	// Address is the IP number and port to listen on; port 0 takes a free one.
	Address string
	// Seed holds the documents that exist from the start.
	Seed map[string]string
	// Targets is the list that exists from the start.
	Targets []Target
}

// Target is one entry of the lagging list of instances and targets.
type Target struct {
	ID         string           `json:"id"`
	Kind       TargetKind       `json:"kind"`
	Address    string           `json:"address"`
	DataCentre types.DataCentre `json:"dataCentre"`
	State      TargetState      `json:"state"`
}

// TargetKind says what a listed entry is.
type TargetKind string

const (
	// KindInstance marks an instance of the proxy.
	KindInstance TargetKind = "instance"
	// KindTarget marks a database member.
	KindTarget TargetKind = "target"
)

// TargetState says whether a listed entry takes work.
type TargetState string

const (
	// StateLive marks an entry in service.
	StateLive TargetState = "live"
	// StateLeaving marks an entry that is about to stop.
	StateLeaving TargetState = "leaving"
)

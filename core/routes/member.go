package routes

import "turmericpulley/core/types"

// Member is what a member of a database says of itself in the platform's store.
type Member struct {
	Target     types.TargetID
	Database   types.DatabaseID
	Address    string
	DataCentre types.DataCentre
	// Slots is the work that the member runs at once.
	Slots int
	// Leaving members end soon and must get no new work.
	Leaving bool
	// ReportsPrimary tells that the member believes that it is the primary.
	ReportsPrimary bool
	// StartedUnixMs is when the member started, in Unix milliseconds.
	StartedUnixMs int64
}

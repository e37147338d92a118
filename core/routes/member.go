package routes

import (
	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

// Member is the entry that a member of a database keeps about itself in the platform's store.
type Member struct {
	Target     types.TargetID
	Database   types.DatabaseID
	Address    string
	DataCentre types.DataCentre
	// Slots is the number of statements that the member runs at once.
	Slots int
	// Leaving marks a member that ends soon and must get no new statements, unless it is the primary: that one may get some until
	// UsableUntil.
	Leaving     bool
	UsableUntil clock.Moment
	// ReportsPrimary reports whether the member says that it is the primary.
	ReportsPrimary bool
	// StartedUnixMs is when the member started, in Unix milliseconds.
	StartedUnixMs int64
}

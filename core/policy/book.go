package policy

import "turmericpulley/core/types"

// Documents looks up the operators' documents.
type Documents interface {
	// Contract returns the customer's contract in force and its revision.
	Contract(types.CustomerID) (Contract, types.Revision, bool)
	// Database returns the database and the group that holds it.
	Database(types.DatabaseID) (Group, Database, bool)
}

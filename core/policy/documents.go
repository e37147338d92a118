package policy

import "turmericpulley/core/types"

// Documents looks up the documents in force.
type Documents interface {
	// Contract returns the customer's contract in force and its revision.
	Contract(types.AccountID) (Contract, types.Revision, bool)
	// Database returns the database and the group that it belongs to.
	Database(types.DatabaseID) (Group, Database, bool)
}

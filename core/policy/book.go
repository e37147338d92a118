package policy

import "turmericpulley/core/types"

// Book looks up the operators' documents.
type Book interface {
	// Contract returns the customer's contract in force and its revision.
	Contract(types.CustomerID) (Contract, types.Revision, bool)
	// Database returns the database and the group that holds it.
	Database(types.DatabaseID) (Group, Database, bool)
}

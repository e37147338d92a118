package pgsrv

import (
	"turmericpulley/core/policy"
	"turmericpulley/core/types"
)

// Book looks up the operators' documents.
type Book interface {
	// Contract returns the customer's contract in force and its revision.
	Contract(types.CustomerID) (policy.Contract, types.Revision, bool)
	// Database returns the database and the group that holds it.
	Database(types.DatabaseID) (policy.Group, policy.Database, bool)
}

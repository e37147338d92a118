package policy

import (
	"turmericpulley/core/fault"
	"turmericpulley/core/types"
)

// Governing is what the operators' documents say about a customer's requests to a database.
type Governing struct {
	Contract Contract
	Revision types.Revision
	Group    Group
	Database Database
}

// Govern looks up what governs a customer's requests to a database; the fault says why it must not send any.
func Govern(b Book, customer types.CustomerID, database types.DatabaseID) (Governing, *fault.Fault) {
	contract, revision, ok := b.Contract(customer)
	if !ok {
		return Governing{}, fault.New(fault.UnknownCustomer, "customer "+string(customer)+" has no contract")
	}
	group, found, ok := b.Database(database)
	if !ok {
		return Governing{}, fault.New(fault.UnknownDatabase, "no group holds database "+string(database))
	}
	if !contract.Reaches(group.Group) {
		detail := "the contract of customer " + string(customer) + " does not reach group " + string(group.Group)
		return Governing{}, fault.New(fault.GroupForbidden, detail)
	}
	return Governing{Contract: contract, Revision: revision, Group: group, Database: found}, nil
}

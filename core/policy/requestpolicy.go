package policy

import (
	"turmericpulley/core/fault"
	"turmericpulley/core/types"
)

// RequestPolicy holds what the documents in force say about a customer's requests to a database.
type RequestPolicy struct {
	Contract Contract
	Revision types.Revision
	Group    Group
	Database Database
}

// Resolve looks up the policy for a customer's requests to a database. The fault says why the customer may not send any.
func Resolve(documents Documents, customer types.AccountID, database types.DatabaseID) (RequestPolicy, *fault.Fault) {
	contract, revision, ok := documents.Contract(customer)
	if !ok {
		return RequestPolicy{}, fault.New(fault.UnknownCustomer, "customer "+string(customer)+" has no contract")
	}
	group, db, ok := documents.Database(database)
	if !ok {
		return RequestPolicy{}, fault.New(fault.UnknownDatabase, "no group holds database "+string(database))
	}
	if !contract.AllowsGroup(group.Group) {
		detail := "the contract of customer " + string(customer) + " does not allow group " + string(group.Group)
		return RequestPolicy{}, fault.New(fault.GroupForbidden, detail)
	}
	return RequestPolicy{Contract: contract, Revision: revision, Group: group, Database: db}, nil
}

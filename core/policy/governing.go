package policy

import (
	"turmericpulley/core/fault"
	"turmericpulley/core/types"
)

// RequestPolicy is what the operators' documents say about a customer's requests to a database.
type RequestPolicy struct {
	Contract Contract
	Revision types.Revision
	Group    Group
	Database Database
}

// Resolve looks up what governs a customer's requests to a database; the fault says why it must not send any.
func Resolve(b Documents, customer types.CustomerID, database types.DatabaseID) (RequestPolicy, *fault.Fault) {
	contract, revision, ok := b.Contract(customer)
	if !ok {
		return RequestPolicy{}, fault.New(fault.UnknownCustomer, "customer "+string(customer)+" has no contract")
	}
	group, found, ok := b.Database(database)
	if !ok {
		return RequestPolicy{}, fault.New(fault.UnknownDatabase, "no group holds database "+string(database))
	}
	if !contract.AllowsGroup(group.Group) {
		detail := "the contract of customer " + string(customer) + " does not reach group " + string(group.Group)
		return RequestPolicy{}, fault.New(fault.GroupForbidden, detail)
	}
	return RequestPolicy{Contract: contract, Revision: revision, Group: group, Database: found}, nil
}

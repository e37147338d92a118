package fakedb

import (
	"sort"

	"turmericpulley/core/types"
)

// allCustomers stands for all customers together in the peaks.
const allCustomers types.AccountID = "*"

// Peak is the highest use that a customer has made of a member since its start.
type Peak struct {
	Customer types.AccountID
	// Connections counts connections that run a statement or have an open transaction block; for the customer "*" it counts all
	// open connections.
	Connections int
	// Statements counts statements that run or wait for a slot.
	Statements int
}

// usage is the current and the peak use by one customer.
type usage struct {
	connections int
	statements  int
	peak        Peak
}

// usageByCustomer holds the use by each customer.
type usageByCustomer map[types.AccountID]*usage

func (p usageByCustomer) forCustomer(customer types.AccountID) *usage {
	u := p[customer]
	if u == nil {
		u = &usage{peak: Peak{Customer: customer}}
		p[customer] = u
	}
	return u
}

func (p usageByCustomer) addConnections(customer types.AccountID, delta int) {
	u := p.forCustomer(customer)
	u.connections += delta
	u.peak.Connections = max(u.peak.Connections, u.connections)
}

func (p usageByCustomer) addStatements(customer types.AccountID, delta int) {
	for _, counted := range []types.AccountID{customer, allCustomers} {
		u := p.forCustomer(counted)
		u.statements += delta
		u.peak.Statements = max(u.peak.Statements, u.statements)
	}
}

func (p usageByCustomer) sortedPeaks() []Peak {
	list := make([]Peak, 0, len(p))
	for _, u := range p {
		list = append(list, u.peak)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Customer < list[j].Customer })
	return list
}

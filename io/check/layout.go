package check

import (
	"fmt"
	"time"

	"turmericpulley/core/policy"
	"turmericpulley/core/types"
)

// Layout says which processes a fleet has.
type Layout struct {
	Instances   int
	Databases   int
	Members     int
	DataCentres []types.DataCentre
	Group       types.GroupID
	// Slots is the number of statements that one member runs at once.
	Slots int
	// Connections is the number of connections that one member accepts.
	Connections   int
	ConnectCost   time.Duration
	StatementTime time.Duration
	// ReceiveLag and ApplyLag are the replicas' delays.
	ReceiveLag time.Duration
	ApplyLag   time.Duration
	// Grace is how long a member serves after SIGTERM.
	Grace     time.Duration
	Contracts []policy.Contract
	// CallerDelay, PeerDelay, MemberDelay and PlatformDelay are the one-way delays of the links.
	CallerDelay   time.Duration
	PeerDelay     time.Duration
	MemberDelay   time.Duration
	PlatformDelay time.Duration
}

// Customer is the customer of DefaultLayout's contract.
const Customer types.CustomerID = "sencnik"

const region = "slo-central"

// DefaultLayout returns three instances before one database of three members in three data centres.
func DefaultLayout() Layout {
	return Layout{
		Instances:     3,
		Databases:     1,
		Members:       3,
		DataCentres:   []types.DataCentre{"slo-a", "slo-b", "slo-c"},
		Group:         "orders-db",
		Slots:         2,
		Connections:   15,
		ConnectCost:   10 * time.Millisecond,
		StatementTime: time.Millisecond,
		Grace:         5 * time.Second,
		Contracts:     []policy.Contract{NewContract(Customer, "orders-db")},
	}
}

// NewContract returns a contract with room for a test's load.
func NewContract(customer types.CustomerID, group types.GroupID) policy.Contract {
	return policy.Contract{
		Customer:         customer,
		Groups:           []types.GroupID{group},
		Connections:      10,
		MaxReadAge:       policy.Duration(2 * time.Second),
		QueueLength:      256,
		QueueTimeout:     policy.Duration(2 * time.Second),
		StatementTimeout: policy.Duration(5 * time.Second),
		Weight:           1,
	}
}

// databaseID returns the name of a database of the layout.
func (l Layout) databaseID(i int) types.DatabaseID {
	return types.DatabaseID(fmt.Sprintf("%s-%d", l.Group, i+1))
}

// dataCentre spreads instances and members over the data centres.
func (l Layout) dataCentre(i int) types.DataCentre { return l.DataCentres[i%len(l.DataCentres)] }

package check

import (
	"fmt"
	"time"

	"turmericpulley/core/policy"
	"turmericpulley/core/types"
)

// Layout describes the processes of a fleet and the delays between them.
type Layout struct {
	Instances int
	Databases int
	// Members is the number of members of each database.
	Members int
	// DataCentres are assigned in turn to the instances and to the members of each database.
	DataCentres []types.DataCentre
	Group       types.GroupID
	// Slots is the largest number of statements that a member runs at once.
	Slots int
	// Connections is the largest number of connections that a member accepts.
	Connections int
	// ConnectCost is the time that a member takes to open a connection.
	ConnectCost time.Duration
	// StatementTime is the time for which a statement holds a slot.
	StatementTime time.Duration
	// ReceiveLag and ApplyLag are the delays with which replicas receive and apply the log.
	ReceiveLag time.Duration
	ApplyLag   time.Duration
	// Grace is the time that a member goes on serving after SIGTERM.
	Grace     time.Duration
	Contracts []policy.Contract
	// CallerDelay, PeerDelay, MemberDelay and PlatformDelay are the one-way delays of the links.
	CallerDelay   time.Duration
	PeerDelay     time.Duration
	MemberDelay   time.Duration
	PlatformDelay time.Duration
}

// Customer is the customer of DefaultLayout's contract.
const Customer types.AccountID = "sencnik"

const region = "slo-central"

// DefaultLayout returns a layout of three instances and one database with three members, spread over three data centres.
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

// NewContract returns a contract whose limits leave room for the load of a test.
func NewContract(customer types.AccountID, group types.GroupID) policy.Contract {
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

// databaseID returns the identifier of the layout's i-th database, counted from 0.
func (l Layout) databaseID(i int) types.DatabaseID {
	return types.DatabaseID(fmt.Sprintf("%s-%d", l.Group, i+1))
}

// dataCentre returns the data centre of the i-th instance or member; they are assigned in turn.
func (l Layout) dataCentre(i int) types.DataCentre { return l.DataCentres[i%len(l.DataCentres)] }

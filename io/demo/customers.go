package demo

import (
	"time"

	"turmericpulley/core/policy"
	"turmericpulley/core/types"
	"turmericpulley/io/load"
)

const (
	groupID       types.GroupID   = "orders-db"
	sencnik       types.AccountID = "sencnik"
	omprela       types.AccountID = "omprela"
	databaseCount                 = 3
	memberCount                   = 3
	instanceCount                 = 3
	// memberSlots and memberConnections are the limits of one member.
	memberSlots       = 2
	memberConnections = 15
)

// contracts returns the contracts of both customers.
func contracts() []policy.Contract {
	return []policy.Contract{
		newContract(sencnik, 2*time.Second),
		newContract(omprela, time.Second),
	}
}

func newContract(customer types.AccountID, maxReadAge time.Duration) policy.Contract {
	return policy.Contract{
		Customer:    customer,
		Groups:      []types.GroupID{groupID},
		Connections: 6,
		MaxReadAge:  policy.Duration(maxReadAge),
	}.WithDefaults()
}

// customerLoads returns the load settings of each customer, without the addresses and databases.
func customerLoads(settings Settings) []load.Settings {
	orders := load.Settings{
		Workload: load.Orders, Customer: sencnik, Rate: 120, Sessions: 12, Connections: 2, RequestsPerInstance: 1, WriteShare: 0.25,
	}
	kiosk := load.Settings{
		Workload: load.Kiosk, Customer: omprela, Rate: 120, Sessions: 12, Connections: 2, RequestsPerInstance: 1, WriteShare: 0.4,
	}
	loads := []load.Settings{orders, kiosk}
	for i := range loads {
		loads[i].Duration = settings.Duration
		loads[i].Seed = settings.Seed + uint64(i)
		loads[i].RequestTimeout = 8 * time.Second
	}
	return loads
}

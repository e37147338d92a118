//go:build measure

package check_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"turmericpulley/core/policy"
	"turmericpulley/core/types"
	"turmericpulley/io/check"
	"turmericpulley/io/load"
)

const (
	// measureSeed is the seed of every measurement but for those that repeat one.
	measureSeed = 1
	// freshCustomer has a contract whose reads all go to the primary.
	freshCustomer types.CustomerID = "fresh"
	// laggedAge is the read age that contracts of the measurements allow, above every lag that they set.
	laggedAge = 30 * time.Second
	// sessionsPerLoad bounds the sessions of one generator, so that its preparation ends in time.
	sessionsPerLoad = 250
	// loadsPerFleet is how many generators may work at once, each under a contract of its own.
	loadsPerFleet = 4
	settleTime    = 500 * time.Millisecond
)

// size is a user's system as its brief describes it.
type size struct {
	name     string
	workload load.Workload
	layout   check.Layout
	// between is the one-way delay between data centres.
	between time.Duration
}

func sizes() []size { return []size{sencnik(), omprela()} }

func sencnik() size {
	layout := check.DefaultLayout()
	layout.CallerDelay = 3 * time.Millisecond
	return complete(size{name: "sencnik", workload: load.Orders, layout: layout, between: 1500 * time.Microsecond})
}

func omprela() size {
	layout := check.DefaultLayout()
	layout.DataCentres = []types.DataCentre{"limani", "plateia", "paralia", "porthmeio"}
	layout.Group = "kiosk-ledger"
	layout.Slots = 5
	layout.Connections = 55
	layout.CallerDelay = time.Millisecond
	return complete(size{name: "omprela", workload: load.Kiosk, layout: layout, between: 500 * time.Microsecond})
}

// complete fills in what both users have.
func complete(s size) size {
	s.layout.Instances = 7
	s.layout.Databases = 3
	s.layout.PlatformDelay = s.between
	s.layout.Contracts = nil
	for i := range loadsPerFleet {
		contract := check.NewContract(types.CustomerID(fmt.Sprintf("%s-%d", s.name, i+1)), s.layout.Group)
		contract.MaxReadAge = policy.Duration(laggedAge)
		s.layout.Contracts = append(s.layout.Contracts, contract)
	}
	fresh := check.NewContract(freshCustomer, s.layout.Group)
	fresh.MaxReadAge = 0
	s.layout.Contracts = append(s.layout.Contracts, fresh)
	return s
}

// start runs the fleet of the size with the delays between its data centres.
func (s size) start(t *testing.T) *check.Fleet {
	t.Helper()
	f := check.NewFleet(t, s.layout)
	for _, i := range f.Instances {
		for _, other := range f.Instances {
			if link := i.Peers[other.ID]; link != nil && other.DataCentre != i.DataCentre {
				link.Delay(s.between)
			}
		}
		for _, m := range f.AllMembers() {
			if m.DataCentre != i.DataCentre {
				i.Members[m.Target].Delay(s.between)
			}
		}
	}
	for _, m := range f.AllMembers() {
		m.Replication.Delay(s.between)
	}
	for database := range s.layout.Databases {
		f.Owner(database)
	}
	time.Sleep(settleTime)
	return f
}

// load returns the load that the measurements vary.
func (s size) load(f *check.Fleet) load.Settings {
	settings := f.Load()
	settings.Workload = s.workload
	settings.Rate = 300
	settings.Duration = 8 * time.Second
	settings.Sessions = 20
	settings.Connections = 1
	settings.WriteShare = 0.1
	settings.Seed = measureSeed
	return settings
}

// setApplyLag makes every member show data so much later than it receives it.
func setApplyLag(t *testing.T, f *check.Fleet, lag time.Duration) {
	t.Helper()
	for _, m := range f.AllMembers() {
		connection, err := pgx.Connect(context.Background(), "postgres://measure@"+m.Direct+"/measure?sslmode=disable")
		require.NoError(t, err)
		_, err = connection.Exec(context.Background(), fmt.Sprintf("SET pulley_standin.apply_lag = '%v'", lag),
			pgx.QueryExecModeSimpleProtocol)
		require.NoError(t, err)
		require.NoError(t, connection.Close(context.Background()))
	}
	time.Sleep(settleTime)
}

// waitRejoined waits until every database has one primary and its other members follow it.
func waitRejoined(t *testing.T, f *check.Fleet) {
	t.Helper()
	require.Eventually(t, func() bool {
		for database, members := range f.Members {
			primary := f.Primary(database)
			if primary == nil || !followed(members, primary) {
				return false
			}
		}
		return true
	}, rejoinTimeout, rejoinPoll, "a member did not rejoin")
	time.Sleep(settleTime)
}

func followed(members []*check.Member, primary *check.Member) bool {
	head, err := primary.Status()
	if err != nil {
		return false
	}
	for _, m := range members {
		status, err := m.Status()
		if err != nil || status.Term != head.Term {
			return false
		}
	}
	return true
}

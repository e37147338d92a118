package check

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/policy"
	"turmericpulley/core/types"
	"turmericpulley/io/fakekv"
)

const (
	// readyTimeout bounds the wait for a process of a fleet to become ready and for a database to have an owner.
	readyTimeout = 20 * time.Second
	// maxFleets bounds the fleets that parallel tests run at once, so that tests measure the program and not an overloaded machine.
	maxFleets    = 4
	pollInterval = 20 * time.Millisecond
)

// fleetSlots is a semaphore that holds one entry for each running fleet.
var fleetSlots = make(chan struct{}, maxFleets)

// Fleet is a platform, members and instances, each in its own process, with a link on every network path between them.
type Fleet struct {
	tb        testing.TB
	layout    Layout
	Platform  *Platform
	Instances []*Instance
	// Members holds the members of each database. The first member of a database starts as its primary.
	Members [][]*Member
}

// NewFleet starts the processes of the layout and waits until every instance is ready.
func NewFleet(tb testing.TB, layout Layout) *Fleet {
	tb.Helper()
	fleetSlots <- struct{}{}
	tb.Cleanup(func() { <-fleetSlots })
	f := &Fleet{tb: tb, layout: layout}
	for d := range layout.Databases {
		f.Members = append(f.Members, f.newMembers(d))
	}
	f.Platform = newPlatform(tb, f.initialDocuments())
	f.waitListening()
	for i := range layout.Instances {
		instance := newInstance(tb, layout, types.InstanceID(fmt.Sprintf("instance-%d", i+1)), f.Platform)
		instance.DataCentre = layout.dataCentre(i)
		f.Instances = append(f.Instances, instance)
	}
	f.Platform.SetTargets(f.liveTargets())
	for _, instance := range f.Instances {
		instance.start(tb, layout, f.Instances, f.AllMembers())
	}
	f.WaitReady(f.Instances...)
	return f
}

func (f *Fleet) newMembers(d int) []*Member {
	members := make([]*Member, 0, f.layout.Members)
	for i := range f.layout.Members {
		target := types.TargetID(fmt.Sprintf("%s-%c", f.layout.databaseID(d), 'a'+i))
		var primary *Member
		if i > 0 {
			primary = members[0]
		}
		m := newMember(f.tb, f.layout, target, primary)
		m.DataCentre = f.layout.dataCentre(i)
		members = append(members, m)
	}
	return members
}

// AllMembers returns the members of every database.
func (f *Fleet) AllMembers() []*Member {
	var members []*Member
	for _, database := range f.Members {
		members = append(members, database...)
	}
	return members
}

// Databases returns the identifiers of the databases.
func (f *Fleet) Databases() []types.DatabaseID {
	ids := make([]types.DatabaseID, 0, f.layout.Databases)
	for d := range f.layout.Databases {
		ids = append(ids, f.layout.databaseID(d))
	}
	return ids
}

// initialDocuments returns the documents that the platform's store holds at the start.
func (f *Fleet) initialDocuments() map[string]any {
	group := policy.Group{Group: f.layout.Group, Slots: f.layout.Slots, Connections: f.layout.Connections}
	for d, members := range f.Members {
		database := policy.Database{Database: f.layout.databaseID(d)}
		for _, m := range members {
			database.Members = append(database.Members, policy.Member{
				Target: m.Target, Address: m.ReplicationLink.Address(), DataCentre: m.DataCentre,
			})
		}
		group.Databases = append(group.Databases, database)
	}
	documents := map[string]any{"groups/" + string(group.Group): group}
	for _, contract := range f.layout.Contracts {
		documents["contracts/"+string(contract.Customer)] = contract
	}
	return documents
}

// liveTargets returns the platform's list of targets, in which every instance and member is live.
func (f *Fleet) liveTargets() []fakekv.Target {
	targets := make([]fakekv.Target, 0, len(f.Instances)+len(f.AllMembers()))
	for _, i := range f.Instances {
		targets = append(targets, fakekv.Target{
			ID: string(i.ID), Kind: fakekv.KindInstance, Address: i.peersAddress, DataCentre: i.DataCentre, State: fakekv.StateLive,
		})
	}
	for _, m := range f.AllMembers() {
		targets = append(targets, fakekv.Target{
			ID: string(m.Target), Kind: fakekv.KindTarget, Address: m.ReplicationLink.Address(), DataCentre: m.DataCentre,
			State: fakekv.StateLive,
		})
	}
	return targets
}

// WaitReady waits until the instances accept requests.
func (f *Fleet) WaitReady(instances ...*Instance) {
	f.tb.Helper()
	for _, instance := range instances {
		require.Eventually(f.tb, instance.Ready, readyTimeout, pollInterval, "%s is not ready", instance.ID)
	}
}

// waitListening waits until the platform and every member accept connections.
func (f *Fleet) waitListening() {
	f.tb.Helper()
	members := f.AllMembers()
	addresses := make([]string, 0, 1+len(members))
	addresses = append(addresses, f.Platform.DirectAddress)
	for _, m := range members {
		addresses = append(addresses, m.DirectAddress)
	}
	for _, address := range addresses {
		require.Eventually(f.tb, func() bool { return acceptsConnections(address) }, readyTimeout, pollInterval, "%s", address)
	}
}

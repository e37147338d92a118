package demo

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"turmericpulley/core/policy"
	"turmericpulley/core/types"
	"turmericpulley/io/fakedb"
	"turmericpulley/io/fakekv"
	"turmericpulley/io/load"
	"turmericpulley/io/server"
)

const (
	anyPortAddress = "127.0.0.1:0"
	region         = "slo-central"
)

// system holds everything that the demo runs.
type system struct {
	platform *fakekv.Platform
	// members holds the members of each database; the first one starts as its primary.
	members   [][]*fakedb.Member
	instances []*server.Server
	group     policy.Group
}

// newSystem starts the platform, the members and the instances.
func newSystem() (*system, error) {
	s := &system{group: policy.Group{Group: groupID, Slots: memberSlots, Connections: memberConnections}}
	for d := range databaseCount {
		if err := s.startDatabase(types.DatabaseID(fmt.Sprintf("%s-%d", groupID, d+1))); err != nil {
			s.close()
			return nil, err
		}
	}
	if err := s.startPlatform(); err != nil {
		s.close()
		return nil, err
	}
	if err := s.startInstances(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// startDatabase starts the members of one database.
func (s *system) startDatabase(name types.DatabaseID) error {
	database := policy.Database{Database: name}
	s.members = append(s.members, nil)
	last := len(s.members) - 1
	for i := range memberCount {
		settings := fakedb.Defaults()
		settings.ID = types.TargetID(fmt.Sprintf("%s-%c", name, 'a'+i))
		settings.Slots = memberSlots
		settings.Connections = memberConnections
		settings.Members = memberCount
		if i > 0 {
			settings.Role = fakedb.Replica
			settings.Primary = s.members[last][0].Address()
		}
		m, err := fakedb.Start(settings)
		if err != nil {
			return errors.Wrapf(err, "starting member %s", settings.ID)
		}
		s.members[last] = append(s.members[last], m)
		database.Members = append(database.Members, policy.Member{
			Target: settings.ID, Address: m.Address(), DataCentre: dataCentre(i),
		})
	}
	s.group.Databases = append(s.group.Databases, database)
	return nil
}

// startPlatform starts the platform with the group and the contracts in its store.
func (s *system) startPlatform() error {
	documents := map[string]string{}
	if err := addDocument(documents, "groups/"+string(groupID), s.group); err != nil {
		return err
	}
	for _, contract := range contracts() {
		if err := addDocument(documents, "contracts/"+string(contract.Customer), contract); err != nil {
			return err
		}
	}
	platform, err := fakekv.Start(fakekv.Settings{Address: anyPortAddress, Seed: documents})
	s.platform = platform
	return errors.Wrap(err, "starting the platform")
}

func addDocument(documents map[string]string, key string, document any) error {
	text, err := json.Marshal(document)
	documents[key] = string(text)
	return errors.Wrapf(err, "encoding %s", key)
}

// startInstances starts the instances; each gets the peer addresses of those before it as its seeds.
func (s *system) startInstances() error {
	var seeds []string
	for i := range instanceCount {
		instance, err := server.New(server.Settings{
			ID:             types.InstanceID(fmt.Sprintf("instance-%d", i+1)),
			Region:         region,
			DataCentre:     dataCentre(i),
			CallersAddress: anyPortAddress,
			PeersAddress:   anyPortAddress,
			HTTPAddress:    anyPortAddress,
			Platform:       s.platform.URL(),
			Seeds:          seeds,
		})
		if err != nil {
			return errors.Wrapf(err, "starting instance %d", i+1)
		}
		s.instances = append(s.instances, instance)
		seeds = append(seeds, instance.PeersAddress())
	}
	return nil
}

func dataCentre(i int) types.DataCentre { return types.DataCentre(fmt.Sprintf("slo-%c", 'a'+i)) }

// withAddresses fills in the addresses of the instances, the names of the databases and the ReadCounter.
func (s *system) withAddresses(settings load.Settings) load.Settings {
	counter := load.MetricsCounter{}
	for _, i := range s.instances {
		settings.Addresses = append(settings.Addresses, i.CallersAddress())
		counter.Addresses = append(counter.Addresses, i.HTTPAddress())
	}
	for _, d := range s.group.Databases {
		settings.Databases = append(settings.Databases, d.Database)
	}
	settings.ReadCounter = counter
	return settings
}

// close stops the instances, the platform and the members.
func (s *system) close() {
	for _, i := range s.instances {
		i.Close()
	}
	if s.platform != nil {
		_ = s.platform.Close()
	}
	for _, database := range s.members {
		for _, m := range database {
			_ = m.Close()
		}
	}
}

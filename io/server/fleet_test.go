package server_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"turmericpulley/core/policy"
	"turmericpulley/core/types"
	"turmericpulley/io/check"
	"turmericpulley/io/fakedb"
	"turmericpulley/io/fakekv"
	"turmericpulley/io/server"
)

// fleet runs a platform, the members of one database and instances in one process.
type fleet struct {
	// links are the network links from the instances to the members.
	links    []*check.Link
	platform *fakekv.Platform
	// seed holds the documents that the platform was started with.
	seed    map[string]string
	members []*fakedb.Member
	servers []*server.Server
}

const (
	testCustomer = "sencnik"
	testDatabase = "orders-0"
)

// startFleet starts a platform, a database of three members and the instances; change adjusts the settings of each member.
func startFleet(tb testing.TB, instances int, change func(*fakedb.Settings)) *fleet {
	tb.Helper()
	f := &fleet{}
	group := policy.Group{Group: "orders-db", Slots: 2, Connections: 15}
	database := policy.Database{Database: testDatabase}
	for i := range 3 {
		settings := fakedb.Defaults()
		settings.ID = types.TargetID(fmt.Sprintf("%s-%d", testDatabase, i))
		settings.Slots, settings.Connections, settings.Members = 2, 15, 3
		if i > 0 {
			settings.Role = fakedb.Replica
			settings.Primary = f.members[0].Address()
		}
		if change != nil {
			change(&settings)
		}
		m, err := fakedb.Start(settings)
		require.NoError(tb, err)
		tb.Cleanup(func() { _ = m.Close() })
		f.members = append(f.members, m)
		f.links = append(f.links, check.NewLink(tb, string(settings.ID), m.Address()))
		database.Members = append(database.Members, policy.Member{
			Target: settings.ID, Address: m.Address(), DataCentre: types.DataCentre(fmt.Sprintf("slo-%c", 'a'+i)),
		})
	}
	group.Databases = []policy.Database{database}
	contract := policy.Contract{
		Customer: testCustomer, Groups: []types.GroupID{"orders-db"}, Connections: 6, MaxReadAge: policy.Duration(2 * time.Second),
	}
	f.seed = map[string]string{"groups/orders-db": encode(tb, group), "contracts/" + testCustomer: encode(tb, contract)}
	platform, err := fakekv.Start(fakekv.Settings{Address: "127.0.0.1:0", Seed: f.seed})
	require.NoError(tb, err)
	tb.Cleanup(func() { _ = platform.Close() })
	f.platform = platform
	f.startServers(tb, instances)
	return f
}

func (f *fleet) startServers(tb testing.TB, instances int) {
	tb.Helper()
	seeds := make([]string, 0, instances)
	for range instances {
		seeds = append(seeds, freeAddress(tb))
	}
	links := map[string]string{}
	for i, m := range f.members {
		links[m.Address()] = f.links[i].Address()
	}
	for i := range instances {
		s, err := server.New(server.Settings{
			ID:             types.InstanceID(fmt.Sprintf("i%d", i)),
			Region:         "slo-central",
			DataCentre:     types.DataCentre(fmt.Sprintf("slo-%c", 'a'+i%3)),
			CallersAddress: "127.0.0.1:0",
			PeersAddress:   seeds[i],
			HTTPAddress:    "127.0.0.1:0",
			Platform:       f.platform.URL(),
			Seeds:          seeds,
			Links:          links,
			Logger:         hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: tb.Output(), Name: fmt.Sprintf("i%d", i)}),
		})
		require.NoError(tb, err)
		tb.Cleanup(s.Close)
		f.servers = append(f.servers, s)
	}
}

// connect opens a caller's connection to an instance once the instance is ready.
func (f *fleet) connect(tb testing.TB, instance int, session string) *pgx.Conn {
	tb.Helper()
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s@%s/%s?sslmode=disable",
		testCustomer, f.servers[instance].CallersAddress(), testDatabase))
	require.NoError(tb, err)
	config.RuntimeParams["pulley.session"] = session
	var conn *pgx.Conn
	require.EventuallyWithT(tb, func(c *assertT) {
		require.True(c, f.servers[instance].Report().Ready)
		conn, err = pgx.ConnectConfig(context.Background(), config)
		require.NoError(c, err)
	}, 5*time.Second, 20*time.Millisecond)
	tb.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func encode(tb testing.TB, document any) string {
	tb.Helper()
	text, err := json.Marshal(document)
	require.NoError(tb, err)
	return string(text)
}

// freeAddress returns a free address that no other test gets, in this test process or another.
func freeAddress(tb testing.TB) string {
	tb.Helper()
	return check.NewAddresses(tb, 1)[0]
}

// owner returns the instance that owns the database.
func (f *fleet) owner(tb testing.TB) *server.Server {
	tb.Helper()
	for _, s := range f.servers {
		if len(s.Report().Databases) > 0 && s.Report().Databases[0].Phase == "serving" {
			return s
		}
	}
	require.FailNow(tb, "no instance owns the database")
	return nil
}

// stablePolls is the number of consecutive polls that must find the same owner. Until then an instance that joins may still
// get the database.
const stablePolls = 15

// waitForOwner waits until all instances have joined and the same instance serves the database in stablePolls polls.
func (f *fleet) waitForOwner(tb testing.TB) {
	tb.Helper()
	var last *server.Server
	polls := 0
	require.Eventually(tb, func() bool {
		serving := f.serving()
		if len(serving) != 1 || serving[0] != last {
			polls = 0
		}
		last = nil
		if len(serving) == 1 {
			last = serving[0]
			polls++
		}
		return polls >= stablePolls
	}, 10*time.Second, 20*time.Millisecond)
}

// serving returns the instances that serve the database; none before all instances have joined.
func (f *fleet) serving() []*server.Server {
	var serving []*server.Server
	for _, s := range f.servers {
		r := s.Report()
		if len(r.Instances) != len(f.servers) {
			return nil
		}
		for _, d := range r.Databases {
			if d.Phase == "serving" {
				serving = append(serving, s)
			}
		}
	}
	return serving
}

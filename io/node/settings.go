package node

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"

	"turmericpulley/core/clock"
	"turmericpulley/core/fleet"
	"turmericpulley/core/routes"
	"turmericpulley/core/types"
	"turmericpulley/io/front"
	"turmericpulley/io/group"
	"turmericpulley/io/meter"
)

// Item is one value of the store.
type Item struct {
	Key      string
	Value    []byte
	Revision types.Revision
	Deleted  bool
}

// Store is the platform's store. Errors are faults of the kinds StoreUnavailable and RevisionConflict; after the first
// a write may still take effect.
type Store interface {
	// Get returns the item and whether it exists, as of a moment after the call was sent.
	Get(ctx context.Context, key string) (Item, bool, error)
	// Range returns the items whose keys begin with the prefix, and a revision from which a watch misses nothing.
	Range(ctx context.Context, prefix string) ([]Item, types.Revision, error)
	// Watch waits for changes after the revision.
	Watch(ctx context.Context, prefix string, after types.Revision, wait time.Duration) ([]Item, types.Revision, error)
	// Put writes a value when the key still has the revision; zero means that it must not exist.
	Put(ctx context.Context, key string, value []byte, expected types.Revision) (types.Revision, error)
	// Serve makes a call for an instance that cannot reach the store.
	Serve(ctx context.Context, method, path string, body []byte) (status int, answer []byte, err error)
}

// Formats read what the operator and the members write into the store.
type Formats struct {
	// Configuration is the key of the operator's configuration, ConfigurationPrefix and MembersPrefix begin the keys to
	// follow.
	Configuration       string
	ConfigurationPrefix string
	MembersPrefix       string
	ParseConfiguration  func(value []byte) (*routes.Table, error)
	// ParseMember reads a member's entry; false means that it names no member to use.
	ParseMember func(item Item) (routes.Member, bool)
}

// Settings are what a node is made from.
type Settings struct {
	Self fleet.Instance
	// Callers, Peers and HTTP are open listeners; HTTP answers the readiness probe.
	Callers net.Listener
	Peers   net.Listener
	HTTP    net.Listener
	// Metrics and Meter may be nil; Counts are published beside the node's own.
	Metrics net.Listener
	Meter   *meter.Meter
	Counts  []meter.Count
	Seeds   []string
	Wrap    func(net.Conn) front.CallerConn
	// Store is made with the relay, by which calls go through another instance.
	Store    func(relay Relay) Store
	Formats  Formats
	Dialer   group.Dialer
	Promoter group.Promoter
	Clock    clock.Clock
	// Logger receives changes of belief, Requests what became of requests.
	Logger         hclog.Logger
	Requests       hclog.Logger
	Grace          time.Duration
	MaxConnections int
}

// Relay makes a call to the store through another instance.
type Relay interface {
	Call(ctx context.Context, method, path string, body []byte) (status int, answer []byte, err error)
}

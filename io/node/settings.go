package node

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"

	"turmericpulley/core/budget"
	"turmericpulley/core/clock"
	"turmericpulley/core/fleet"
	"turmericpulley/core/routes"
	"turmericpulley/core/types"
	"turmericpulley/io/front"
	"turmericpulley/io/group"
	"turmericpulley/io/meter"
)

// Item is one key of the store with its value; Deleted marks one that the store no longer holds.
type Item struct {
	Key      string
	Value    []byte
	Revision types.Revision
	Deleted  bool
}

// Store is a client of the platform's store. Get, Range and Put return faults of the kind StoreUnavailable. Put also returns
// faults of the kind RevisionConflict. After StoreUnavailable a write may still take effect.
type Store interface {
	// Get returns the item and whether it exists, as of a moment after the call was sent. Like the others it fails when the store has
	// been restored from an older copy since it answered.
	Get(ctx context.Context, key string) (Item, bool, error)
	// Range returns the items whose keys begin with the prefix, and a revision from which a watch misses nothing.
	Range(ctx context.Context, prefix string) ([]Item, types.Revision, error)
	// Watch waits for changes after the revision and returns them with the revision to watch from next. It returns no items when
	// there was no change within the wait. An error may mean that the store has dropped the history since the revision; the
	// range then has to be read again.
	Watch(ctx context.Context, prefix string, after types.Revision, wait time.Duration) ([]Item, types.Revision, error)
	// Put writes a value if the key still has the expected revision; zero means that the key must not exist. A revision of an earlier
	// era counts as a conflict, since the store may have given its number out again.
	Put(ctx context.Context, key string, value []byte, expected types.Revision) (types.Revision, error)
	// CallDirectly makes a call to the store for another instance, which cannot reach the store. It does not relay the call.
	CallDirectly(ctx context.Context, method, path string, body []byte) (StoreAnswer, error)
	// Era returns the newest era of the store that an answer has shown.
	Era() types.Era
}

// Formats are the keys and parsers of the values that the operator and the members write into the store.
type Formats struct {
	// ConfigurationKey is the key of the operator's configuration. ConfigurationPrefix is the prefix of the keys that are read
	// and watched for it, MembersPrefix that of the keys of the members' entries.
	ConfigurationKey    string
	ConfigurationPrefix string
	MembersPrefix       string
	ParseConfiguration  func(value []byte) (*routes.Table, error)
	// SealConfiguration returns the configuration as it may leave the instance, without the keys of client accounts.
	SealConfiguration func(value []byte) ([]byte, error)
	// ParseMember parses a member's entry; false means that it describes no usable member.
	ParseMember func(item Item) (routes.Member, bool)
}

// DefaultLimitPeriod is the time over which limits are counted where the platform names none.
const DefaultLimitPeriod = 5 * time.Second

// Settings configure a node; New takes them.
type Settings struct {
	Self fleet.Instance
	// Callers, Peers and HTTP are open listeners; readiness probes are answered on HTTP.
	Callers net.Listener
	Peers   net.Listener
	HTTP    net.Listener
	// Metrics and Meter may be nil. Counters are published in addition to the node's own counters.
	Metrics  net.Listener
	Meter    *meter.Meter
	Counters []meter.CounterFunc
	// Seeds are peer addresses of some instances.
	Seeds []string
	// NewCallerConn returns the caller's connection for an accepted network connection.
	NewCallerConn func(net.Conn) front.CallerConn
	// Store creates a client of the store; the relay sends calls through another instance. The client does without if it is nil.
	Store    func(relay StoreCaller) Store
	Formats  Formats
	Dialer   group.Dialer
	Promoter group.Promoter
	Clock    clock.Clock
	// Logger logs changes of state, such as a new owner of a database; RequestLogger logs the outcomes of callers' requests.
	Logger        hclog.Logger
	RequestLogger hclog.Logger
	// Grace is the time from the call of Stop until the platform kills the process.
	Grace time.Duration
	// Budget bounds what is taken in for callers; the zero value means the limits of a machine that is not known.
	Budget budget.Limits
	// RevokeLimit is how long after the withdrawal of a key its requests may still run; zero sets no strict limit.
	RevokeLimit time.Duration
	// LimitPeriod is the time over which the limits of client accounts are counted; zero means DefaultLimitPeriod.
	LimitPeriod time.Duration
}

// StoreCall is one call to the store.
type StoreCall struct {
	// Method and Path are those of the HTTP request, Body is its body.
	Method, Path string
	Body         []byte
	// Wait is how long the store may hold the call before it answers.
	Wait time.Duration
}

// StoreCaller makes a call to the store, directly or through another instance. It gives up a store that does not begin to answer or stops
// in the middle of an answer, but no answer that keeps arriving: how long that takes depends on its size and the link.
type StoreCaller interface {
	Call(ctx context.Context, call StoreCall) (StoreAnswer, error)
}

// StoreAnswer is the answer of the store to one call: its HTTP status and body, and the era of the store.
type StoreAnswer struct {
	Status int
	Era    types.Era
	Body   []byte
}

package pgsrv

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"turmericpulley/core/budget"
	"turmericpulley/core/policy"
	"turmericpulley/core/types"
)

const (
	// DefaultMaxMessageBytes is 4 KiB below the limit of 16 MiB for a message between instances. The difference leaves room
	// for the frame around the caller's message.
	DefaultMaxMessageBytes = 16<<20 - 4096
	// DefaultMaxConnections is the maximum number of connections of callers to an instance.
	DefaultMaxConnections = 16384
	// DefaultServerVersion is the PostgreSQL version that is reported to callers.
	DefaultServerVersion = "16.0"
	// DefaultWriteTimeout bounds a write to a caller.
	DefaultWriteTimeout = 30 * time.Second

	// maxConnectionLimit keeps the 16-bit connection numbers in cancel keys unique, including those of connections that are
	// being refused.
	maxConnectionLimit = 1<<16 - 1 - maxConcurrentRefusals
)

// Settings configures a server. A limit, a timeout or a version that is not set gets its default.
type Settings struct {
	// Address is the IP address and port to listen on.
	Address string
	// InstanceID identifies the instance in cancel keys and error messages.
	InstanceID types.InstanceID
	// Router opens a stream to the owner for each transaction.
	Router Router
	// Documents looks up the contracts and groups in force.
	Documents policy.Documents
	// Freshness says whether the instance can know that its contracts are current.
	Freshness FreshnessChecker
	// Logger logs the start, the drain and the end of the listener; nil disables logging.
	Logger hclog.Logger
	// Observe is called once for each transaction that has ended or could not be opened, when not nil. It must not block.
	Observe func(TransactionReport)
	// MaxMessageBytes is the maximum length of a message of a caller.
	MaxMessageBytes int
	// MaxConnections is the maximum number of open connections of callers.
	MaxConnections int
	// Budget bounds what is taken in for callers; nil means the limits of a machine that is not known.
	Budget *budget.Pool
	// WriteTimeout bounds a write to a caller; the connection of a caller that does not read in time is closed.
	WriteTimeout time.Duration
	// ServerVersion is reported to callers as server_version.
	ServerVersion string
}

func (s Settings) withDefaults() Settings {
	if s.MaxMessageBytes <= 0 || s.MaxMessageBytes > DefaultMaxMessageBytes {
		s.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if s.MaxConnections <= 0 {
		s.MaxConnections = DefaultMaxConnections
	}
	if s.MaxConnections > maxConnectionLimit {
		s.MaxConnections = maxConnectionLimit
	}
	if s.Budget == nil {
		s.Budget = budget.New(budget.LimitsFor(0, 0))
	}
	if s.WriteTimeout <= 0 {
		s.WriteTimeout = DefaultWriteTimeout
	}
	if s.ServerVersion == "" {
		s.ServerVersion = DefaultServerVersion
	}
	if s.Logger == nil {
		s.Logger = hclog.NewNullLogger()
	}
	if s.Observe == nil {
		s.Observe = func(TransactionReport) {}
	}
	return s
}

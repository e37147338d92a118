package pgsrv

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"turmericpulley/core/policy"
	"turmericpulley/core/types"
)

const (
	// DefaultMaxMessageBytes leaves room in a message between instances for the frame around the caller's message.
	DefaultMaxMessageBytes = 16<<20 - 4096
	// DefaultMaxConnections is the number of callers' connections that an instance accepts.
	DefaultMaxConnections = 16384
	// DefaultServerVersion is the version of PostgreSQL that callers are told.
	DefaultServerVersion = "16.0"
	// DefaultWriteTimeout bounds a write to a caller that does not read.
	DefaultWriteTimeout = 30 * time.Second

	maxConnectionLimit = 1<<16 - 1 - maxConcurrentRefusals
)

// Settings configures a server.
type Settings struct {
	// Address is the IP number and port to listen on.
	Address string
	// InstanceID names the instance in the keys for cancel requests.
	InstanceID types.InstanceID
	Router     Router
	Documents  policy.Documents
	Freshness  FreshnessChecker
	Logger     hclog.Logger
	// Observe is called once for each finished transaction when not nil; it must not block.
	Observe func(TransactionReport)
	// MaxMessageBytes bounds one message of a caller.
	MaxMessageBytes int
	// MaxConnections bounds the open connections of callers.
	MaxConnections int
	// WriteTimeout bounds a write to a caller that does not read.
	WriteTimeout time.Duration
	// ServerVersion is told to callers as server_version.
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

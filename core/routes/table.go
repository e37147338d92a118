package routes

import (
	"time"

	"turmericpulley/core/acct"
	"turmericpulley/core/types"
)

// Version orders configurations; it only increases.
type Version int64

// Database is the configuration of one database.
type Database struct {
	ID types.DatabaseID
	// MaxConnections is the largest number of connections that each member takes from all callers together.
	MaxConnections int
	// SyncReplicas is the number of replicas that hold a commit before it is acknowledged.
	SyncReplicas int
}

// Table is one version of the configuration; it is immutable.
type Table struct {
	Version Version
	Routes  map[Name]Route
	// Databases are all databases that callers may use.
	Databases map[types.DatabaseID]Database
	// IdleTransactionTimeout is how long a transaction may stay idle before it may be ended; zero means no limit.
	IdleTransactionTimeout time.Duration
	// Accounts are the client accounts; nil when the configuration has none, and callers then need no key.
	Accounts *acct.Directory
}

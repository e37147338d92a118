package types

// AccountID names a client account: the customer of a contract, which callers of package pgsrv give as the user name at start-up, or an
// account of the operator's configuration, which a caller's key names. Where the configuration has no accounts, the metrics of package
// front take the name of the route.
type AccountID string

// GroupID names a database group.
type GroupID string

// DatabaseID names one database. Callers of package pgsrv give it as the database name at start-up; callers of package front
// give the name of a route that leads to the database.
type DatabaseID string

// TargetID names one member of a database.
type TargetID string

// InstanceID names one running instance of the proxy.
type InstanceID string

// Millicores is processor time per time, in thousandths of a core.
type Millicores int

// DataCentre names a data centre.
type DataCentre string

// Region names a region, which holds one or more data centres.
type Region string

// SessionName names a caller's session across connections and instances.
type SessionName string

// RequestKey identifies a request that may be sent again and must run at most once.
type RequestKey string

// RequestID identifies one request as it passes between instances.
type RequestID uint64

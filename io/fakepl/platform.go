package fakepl

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Platform is a stand-in for the platform with one database of three members. Callers reach the database over three
// routes, whose database names are primary, bounded (bounded staleness) and own (read your writes).
type Platform struct {
	Store *Store
	Group *Group
	// MemberlessDatabases is the number of further databases in the configuration; they have no members.
	MemberlessDatabases int
	// SyncReplicas is the number of replicas that the configuration promises to hold each acknowledged commit.
	SyncReplicas int
	// Tenants are the client accounts that Configure writes; nil writes none, and callers then need no key.
	Tenants []Tenant
	// StrictRevoke makes the settings of instances require that withdrawn keys end within RevokeLimit.
	StrictRevoke bool
	// MemoryMB and MaxDescriptors are the limits of an instance's process that the settings name.
	MemoryMB       int
	MaxDescriptors int

	history tenantsHistory
	server  *http.Server
	addr    string
}

// Maximum staleness of the routes bounded and own, in milliseconds.
const (
	boundedMaxStalenessMs = 1500
	ownMaxStalenessMs     = 2500
)

// Limits of an instance's process, unless a test sets others.
const (
	defaultMemoryMB       = 284
	defaultMaxDescriptors = 4200
)

// NewPlatform starts the store and a database of three members on loopback, and writes the first configuration. The lag is the
// time after which the replicas apply a commit.
func NewPlatform(lag time.Duration) (*Platform, error) {
	p := &Platform{Store: NewStore(), MemoryMB: defaultMemoryMB, MaxDescriptors: defaultMaxDescriptors}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.addr = listener.Addr().String()
	p.server = &http.Server{Handler: p.Store, ReadHeaderTimeout: time.Second}
	go func() { _ = p.server.Serve(listener) }()
	if p.Group, err = NewGroup(p.Store, "db1", lag, "i-1", "i-2", "i-3"); err != nil {
		return nil, err
	}
	p.Store.Promote = func(_ string, token uint64, _, member string) int { return p.Group.Promote(token, member) }
	p.Configure(1, 800)
	return p, nil
}

// Configure writes a version of the configuration, in which every route has the timeout timeoutMs. Each extra name becomes a
// route to the primary of the same database.
func (p *Platform) Configure(version, timeoutMs int, extra ...string) {
	routes := []map[string]any{}
	backends := []map[string]any{}
	backend := func(name string) {
		backends = append(backends, map[string]any{"name": name, "maxConns": maxConnsPerMember, "syncReplicas": p.SyncReplicas})
	}
	route := func(name, kind, backend string, maxStalenessMs int) {
		routes = append(routes, map[string]any{
			"name": "r-" + name, "database": name, "type": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 200, "priority": 1,
			"backend": backend, "maxStalenessMs": maxStalenessMs,
		})
	}
	backend(p.Group.Name)
	route("primary", "primary", p.Group.Name, 0)
	route("bounded", "bounded_staleness", p.Group.Name, boundedMaxStalenessMs)
	route("own", "read_your_writes", p.Group.Name, ownMaxStalenessMs)
	for _, name := range extra {
		route(name, "primary", p.Group.Name, 0)
	}
	for i := range p.MemberlessDatabases {
		name := fmt.Sprintf("more%d", i)
		backend(name)
		route(name, "primary", name, 0)
	}
	document := map[string]any{"version": version, "routes": routes, "backends": backends, "limits": map[string]any{"txIdleMs": 3000}}
	if p.Tenants != nil {
		tenants := make([]map[string]any, 0, len(p.Tenants))
		for _, t := range p.Tenants {
			tenants = append(tenants, t.encode())
		}
		document["tenants"] = tenants
	}
	value, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	written := time.Now()
	p.Store.Put("op/config", value)
	p.history.record(p.Tenants, written)
}

// Address returns the IP address and port of the platform's HTTP interface.
func (p *Platform) Address() string { return p.addr }

// Close stops the HTTP interface and the members.
func (p *Platform) Close() {
	_ = p.server.Close()
	p.Group.Close()
}

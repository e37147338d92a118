package fakepl

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Platform is a stand-in for the platform with one database of three members. The database has three routes, named after
// their kinds: primary, bounded (bounded staleness) and own (read your writes).
type Platform struct {
	Store *Store
	Group *Group
	// MemberlessDatabases is the number of further databases in the configuration; they have no members.
	MemberlessDatabases int

	server *http.Server
	addr   string
}

// Maximum staleness of the routes bounded and own, in milliseconds.
const (
	boundedMaxStalenessMs = 1500
	ownMaxStalenessMs     = 2500
)

// NewPlatform starts the store and a database of three members on loopback, with the apply lag of the replicas, and writes
// the first configuration.
func NewPlatform(lag time.Duration) (*Platform, error) {
	s := &Platform{Store: NewStore()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = listener.Addr().String()
	s.server = &http.Server{Handler: s.Store, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(listener) }()
	if s.Group, err = NewGroup(s.Store, "db1", lag, "i-1", "i-2", "i-3"); err != nil {
		return nil, err
	}
	s.Store.Promote = func(_ string, token uint64, _, member string) int { return s.Group.Promote(token, member) }
	s.Configure(1, 800)
	return s, nil
}

// Configure writes a version of the configuration. Each extra name becomes a route to the primary of the same database.
func (s *Platform) Configure(version, timeoutMs int, extra ...string) {
	routes := []map[string]any{}
	backends := []map[string]any{}
	backend := func(name string) {
		backends = append(backends, map[string]any{"name": name, "maxConns": maxConnsPerMember, "syncReplicas": 0})
	}
	route := func(name, kind, backend string, maxStalenessMs int) {
		routes = append(routes, map[string]any{
			"name": "r-" + name, "database": name, "type": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 200, "priority": 1,
			"backend": backend, "maxStalenessMs": maxStalenessMs,
		})
	}
	backend(s.Group.Name)
	route("primary", "primary", s.Group.Name, 0)
	route("bounded", "bounded_staleness", s.Group.Name, boundedMaxStalenessMs)
	route("own", "read_your_writes", s.Group.Name, ownMaxStalenessMs)
	for _, name := range extra {
		route(name, "primary", s.Group.Name, 0)
	}
	for i := range s.MemberlessDatabases {
		name := fmt.Sprintf("more%d", i)
		backend(name)
		route(name, "primary", name, 0)
	}
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "backends": backends,
		"limits": map[string]any{"txIdleMs": 3000},
	})
	if err != nil {
		panic(err)
	}
	s.Store.Put("op/config", value)
}

// Address returns the IP address and port of the platform's HTTP interface.
func (s *Platform) Address() string { return s.addr }

// Close stops the HTTP interface and the members.
func (s *Platform) Close() {
	_ = s.server.Close()
	s.Group.Close()
}

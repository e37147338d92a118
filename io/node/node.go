package node

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"turmericpulley/core/fleet"
	"turmericpulley/core/hold"
	"turmericpulley/core/routes"
	"turmericpulley/core/types"
	"turmericpulley/io/front"
	"turmericpulley/io/meter"
	"turmericpulley/io/peers"
)

// Node is one instance on the platform.
type Node struct {
	settings  Settings
	logger    hclog.Logger
	routes    *routes.Current
	roster    *roster
	store     Store
	transport *peers.Transport
	holder    *holder
	entries   *entries
	silent    *silent
	feed      *feed
	callers   *front.Server
	ready     *http.Server
	metrics   *http.Server
	stopping  atomic.Bool
	fetching  atomic.Bool
	rereading atomic.Bool
	// unreadable counts configurations that could not be understood.
	unreadable atomic.Int64
	cancel     context.CancelFunc
	ctx        context.Context
	running    sync.WaitGroup
}

// New starts the instance; Stop ends it.
func New(s Settings) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		settings: s, logger: s.Logger, routes: routes.NewCurrent(), roster: newRoster(s.Self), ctx: ctx, cancel: cancel,
	}
	n.store = s.Store(&relay{node: n})
	n.entries = newEntries(n)
	n.silent = newSilent()
	n.holder = newHolder(n)
	n.feed = newFeed(n)
	n.transport = peers.NewTransport(s.Peers, n.serve)
	n.callers = front.New(front.Settings{
		Listener: s.Callers, Wrap: s.Wrap, Routes: n.routes, Router: &router{node: n}, Logger: s.Requests,
		MaxConnections: s.MaxConnections, Meter: s.Meter,
	})
	n.serveReady()
	n.serveMetrics()
	n.running.Go(func() { n.feed.followConfiguration(ctx) })
	n.running.Go(func() { n.feed.followFleet(ctx) })
	n.running.Go(func() { n.feed.followReaders(ctx) })
	n.running.Go(func() { n.entries.run(ctx) })
	n.running.Go(func() { n.holder.run(ctx) })
	n.logger.Info("instance started", "incarnation", uint64(s.Self.Incarnation), "callers", s.Callers.Addr().String())
	return n
}

const (
	// probeReadTimeout bounds the reading of a readiness probe.
	probeReadTimeout = 2 * time.Second
	// stopMargin is kept of the grace for the end of the process itself.
	stopMargin = 700 * time.Millisecond
)

// serveReady answers the platform's readiness probe.
func (n *Node) serveReady() {
	n.ready = &http.Server{ReadHeaderTimeout: probeReadTimeout, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, _ *http.Request) {
			if !n.Ready() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})}
	n.running.Go(func() { _ = n.ready.Serve(n.settings.HTTP) })
}

// serveMetrics publishes counters and histograms.
func (n *Node) serveMetrics() {
	if n.settings.Metrics == nil || n.settings.Meter == nil {
		return
	}
	counts := append([]meter.Count{
		{
			Name: "malformed_messages", Description: "Messages of callers that could not be understood.",
			Read: n.callers.Counters().Malformed.Load,
		},
		{
			Name: "unreadable_configurations", Description: "Configurations in the store that could not be understood.",
			Read: n.unreadable.Load,
		},
	}, n.settings.Counts...)
	if err := n.settings.Meter.Publish(counts...); err != nil {
		n.logger.Warn("counts not published", "error", err)
	}
	n.metrics = &http.Server{ReadHeaderTimeout: probeReadTimeout, Handler: n.settings.Meter.Handler()}
	n.running.Go(func() { _ = n.metrics.Serve(n.settings.Metrics) })
}

// Ready reports whether the instance wants callers.
func (n *Node) Ready() bool { return !n.stopping.Load() && n.routes.Table() != nil }

// Stop hands the databases over, lets sessions end within the grace and ends the instance.
func (n *Node) Stop() {
	n.stopping.Store(true)
	n.logger.Info("instance stopping", "grace", n.settings.Grace, "sessions", n.callers.Counters().Sessions.Load())
	span := max(n.settings.Grace-stopMargin, time.Second)
	handed, last := make(chan struct{}), time.NewTimer(span)
	defer last.Stop()
	n.running.Go(func() {
		defer close(handed)
		n.holder.leave()
	})
	n.callers.Stop(span)
	// Sessions may end before the databases are handed over, which others would otherwise have to find out.
	select {
	case <-handed:
	case <-last.C:
	}
	n.cancel()
	_ = n.ready.Close()
	if n.metrics != nil {
		_ = n.metrics.Close()
	}
	n.holder.close()
	n.transport.Close()
	n.running.Wait()
	n.logger.Info("instance stopped")
}

// fleetPrefix begins the keys of the proxy's own values.
const (
	fleetPrefix     = "turmericpulley/"
	instancesPrefix = fleetPrefix + "instances/"
	ownersPrefix    = fleetPrefix + "owners/"
)

func ownerKey(database types.DatabaseID) string { return ownersPrefix + string(database) }

func instanceKey(id types.InstanceID) string { return instancesPrefix + string(id) }

// owned is a record with its revision in the store.
type owned struct {
	hold.Record
	revision types.Revision
}

// handedTo returns the record that replaces this one and names a new owner.
func (o owned) handedTo(next fleet.Instance) owned { return owned{o.HandedTo(next), o.revision} }

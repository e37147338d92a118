package node

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"turmericpulley/core/budget"
	"turmericpulley/core/cover"
	"turmericpulley/core/fleet"
	"turmericpulley/core/hold"
	"turmericpulley/core/reach"
	"turmericpulley/core/routes"
	"turmericpulley/core/types"
	"turmericpulley/core/usage"
	"turmericpulley/io/front"
	"turmericpulley/io/group"
	"turmericpulley/io/meter"
	"turmericpulley/io/peers"
	"turmericpulley/io/sock"
)

// Node is one instance of the proxy on the users' platform.
type Node struct {
	settings  Settings
	logger    hclog.Logger
	routes    *routes.CurrentTable
	directory *directory
	store     Store
	// directStore is the store without calls through other instances.
	directStore Store
	eras        *eraWatch
	// timeline shows when the store was at which revision.
	timeline              *cover.Timeline
	transport             *peers.Transport
	ownerships            *ownershipManager
	memberEntries         *memberEntries
	unresponsive          *unresponsive
	owners                *reach.Owners
	storeSync             *storeSync
	limits                *limits
	budget                *budget.Pool
	usage                 *usage.Table
	selfWatch             *selfWatch
	callers               *front.Server
	readyServer           *http.Server
	readyListener         *sock.Bounded
	metricsServer         *http.Server
	stopping              atomic.Bool
	fetchingConfiguration atomic.Bool
	rereadingOwner        atomic.Bool
	// unreadableConfigurations counts configurations that could not be parsed.
	unreadableConfigurations atomic.Int64
	// memberAnswers counts unexpected answers of members.
	memberAnswers group.Counters
	cancel        context.CancelFunc
	ctx           context.Context
	goroutines    sync.WaitGroup
}

// New starts the instance; Stop shuts it down.
func New(s Settings) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		settings: s, logger: s.Logger, routes: routes.NewCurrentTable(), directory: newDirectory(s.Self), ctx: ctx, cancel: cancel,
	}
	n.timeline = &cover.Timeline{}
	n.directStore = timedStore{s.Store(nil), s.Clock, n.timeline}
	n.store = timedStore{s.Store(&relay{node: n}), s.Clock, n.timeline}
	n.eras = &eraWatch{store: n.store, clock: s.Clock, logger: s.Logger}
	n.memberEntries = newMemberEntries(n)
	n.unresponsive = newUnresponsive()
	n.owners = reach.NewOwners(s.Clock)
	n.ownerships = newOwnershipManager(n)
	n.storeSync = newStoreSync(n)
	n.limits, n.usage = newLimits(n), usage.NewTable()
	n.selfWatch = newSelfWatch(n)
	if s.Budget == (budget.Limits{}) {
		s.Budget = budget.LimitsFor(0, 0)
	}
	n.budget = budget.New(s.Budget)
	n.transport = peers.NewTransport(s.Peers, n.serveChannel)
	n.callers = front.New(front.Settings{
		Listener: s.Callers, NewCallerConn: s.NewCallerConn, Routes: n.routes, Router: &router{node: n}, Logger: s.RequestLogger,
		Budget: n.budget, Meter: s.Meter, Usage: n.usage, KeysProved: n.storeSync.proof.Holds, Outdated: n.storeSync.isOutdated,
		Superseded: n.storeSync.isSuperseded,
	})
	n.serveReady()
	n.serveMetrics()
	n.goroutines.Go(func() { n.storeSync.followConfiguration(ctx) })
	n.goroutines.Go(func() { n.storeSync.followFleet(ctx) })
	n.goroutines.Go(func() { n.storeSync.followReaders(ctx) })
	if n.storeSync.proof.Needed() {
		n.goroutines.Go(func() { n.watchProof(ctx) })
	}
	n.goroutines.Go(func() { n.memberEntries.run(ctx) })
	n.goroutines.Go(func() { n.memberEntries.runStarts(ctx) })
	n.goroutines.Go(func() { n.ownerships.run(ctx) })
	n.goroutines.Go(func() { n.ownerships.keepRenewed(ctx) })
	n.goroutines.Go(func() { n.selfWatch.run(ctx) })
	n.logger.Info("instance started", "incarnation", uint64(s.Self.Incarnation), "callers", s.Callers.Addr().String())
	return n
}

const (
	// stopMargin is the part of the grace period that is reserved for the end of the process itself.
	stopMargin = 700 * time.Millisecond
)

// serveReady starts the HTTP server that answers the platform's readiness probe.
func (n *Node) serveReady() {
	n.readyServer = newHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	n.readyListener = sock.NewBounded(n.settings.HTTP, maxReadyConnections)
	n.goroutines.Go(func() { _ = n.readyServer.Serve(n.readyListener) })
}

// serveMetrics starts the HTTP server that publishes counters and histograms, when both the listener and the meter are set.
func (n *Node) serveMetrics() {
	if n.settings.Metrics == nil || n.settings.Meter == nil {
		return
	}
	metrics := sock.NewBounded(n.settings.Metrics, maxMetricsConnections)
	counts := append(n.budgetCounters(), []meter.CounterFunc{
		{
			Name: "readiness_connections_closed", Description: "Connections for readiness checks that were closed for newer ones.",
			Read: n.readyListener.Closed,
		},
		{
			Name: "metrics_connections_closed", Description: "Connections for metrics that were closed for newer ones.",
			Read: metrics.Closed,
		},
		{
			Name: "malformed_messages", Description: "Messages of callers that could not be understood.",
			Read: n.callers.Counters().Malformed.Load,
		},
		{
			Name: "truncated_messages", Description: "Messages of callers that ended before their line end.",
			Read: n.callers.Counters().Truncated.Load,
		},
		{
			Name: "unreadable_configurations", Description: "Configurations in the store that could not be understood.",
			Read: n.unreadableConfigurations.Load,
		},
		{
			Name: "member_answers_repeated", Description: "Second answers of members to earlier statements, which were skipped.",
			Read: n.memberAnswers.RepeatedAnswers.Load,
		},
		{
			Name: "member_answers_misplaced", Description: "Answers of members that did not belong to the statement that waited.",
			Read: n.memberAnswers.MisplacedAnswers.Load,
		},
		{
			Name: "member_connections_distrusted", Description: "Connections to members that were closed for repeated or misplaced answers.",
			Read: n.memberAnswers.DistrustedConnections.Load,
		},
		{
			Name: "member_connections_unusable", Description: "Idle connections to members that had ended or had unexpected data.",
			Read: n.memberAnswers.UnusableIdleConnections.Load,
		},
		{
			Name: "member_connection_uses", Description: "Statements and transactions that took a connection to a member.",
			Read: n.memberAnswers.ConnectionUses.Load,
		},
		{
			Name: "member_connection_waits", Description: "Statements and transactions that found no idle connection of their account.",
			Read: n.memberAnswers.ConnectionWaits.Load,
		},
		{
			Name: "member_connections_displaced", Description: "Idle connections that were closed for one of another account.",
			Read: n.memberAnswers.DisplacedConnections.Load,
		},
		{
			Name: "member_connections_refused", Description: "Openings that members refused because they had too many connections.",
			Read: n.memberAnswers.ConnectionsRefused.Load,
		},
		{
			Name: "statements_behind_share", Description: "Statements that waited behind others because of their account's share.",
			Read: n.memberAnswers.StatementsBehindShare.Load,
		},
	}...)
	counts = append(counts, n.selfWatch.counters()...)
	counts = append(counts, n.settings.Counters...)
	if err := n.settings.Meter.PublishCounters(counts...); err != nil {
		n.logger.Warn("counters not published", "error", err)
	}
	if err := n.settings.Meter.PublishAccounts(n.accountEntries); err != nil {
		n.logger.Warn("counts of accounts not published", "error", err)
	}
	pages := http.NewServeMux()
	pages.Handle("/", n.settings.Meter.Handler())
	pages.HandleFunc("GET "+AccountsPath, n.serveAccounts)
	n.metricsServer = newHTTPServer(pages)
	n.goroutines.Go(func() { _ = n.metricsServer.Serve(metrics) })
}

// Ready reports whether the platform may send new callers here: the instance has a configuration, is not stopping, and may serve callers
// with keys where the configuration has accounts.
func (n *Node) Ready() bool {
	table := n.routes.Table()
	return !n.stopping.Load() && table != nil && (table.Accounts == nil || n.storeSync.proof.Holds())
}

// Stop shuts the instance down gracefully: it hands its databases over and lets sessions end within the grace period.
func (n *Node) Stop() {
	n.stopping.Store(true)
	n.logger.Info("instance stopping", "grace", n.settings.Grace, "sessions", n.callers.Counters().Sessions.Load())
	timeLeft := max(n.settings.Grace-stopMargin, time.Second)
	handedOver, timeout := make(chan struct{}), time.NewTimer(timeLeft)
	defer timeout.Stop()
	n.goroutines.Go(func() {
		defer close(handedOver)
		n.ownerships.handOverAll()
	})
	n.callers.Stop(timeLeft)
	// The sessions may end before the databases are handed over. If the instance did not wait for the handovers too, the other
	// instances would first have to detect that the owner is dead.
	select {
	case <-handedOver:
	case <-timeout.C:
	}
	n.cancel()
	_ = n.readyServer.Close()
	if n.metricsServer != nil {
		_ = n.metricsServer.Close()
	}
	n.ownerships.close()
	n.transport.Close()
	n.goroutines.Wait()
	n.logger.Info("instance stopped")
}

// Prefixes of the keys under which the proxy keeps its own values in the store.
const (
	fleetPrefix     = "turmericpulley/"
	instancesPrefix = fleetPrefix + "instances/"
	ownersPrefix    = fleetPrefix + "owners/"
)

func ownerKey(database types.DatabaseID) string { return ownersPrefix + string(database) }

func instanceKey(id types.InstanceID) string { return instancesPrefix + string(id) }

// ownerRecord is the record of a database's owner with the revision at which the store holds it.
type ownerRecord struct {
	hold.Record
	revision types.Revision
	// lost is set when the store has been restored from an older copy. The record is then the last one that is known, and the revision
	// that of the older one that the store holds instead, zero when it holds none.
	lost bool
}

// handedTo returns the record that replaces this one and names next as the owner. It keeps the revision, on which the write
// is conditional.
func (o ownerRecord) handedTo(next fleet.Instance) ownerRecord {
	return ownerRecord{Record: o.WithOwner(next), revision: o.revision}
}

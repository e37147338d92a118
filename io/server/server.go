package server

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"turmericpulley/core/budget"
	"turmericpulley/core/fault"
	"turmericpulley/core/fleet"
	"turmericpulley/core/trace"
	"turmericpulley/core/types"
	"turmericpulley/io/httpd"
	"turmericpulley/io/meter"
	"turmericpulley/io/owner"
	"turmericpulley/io/peers"
	"turmericpulley/io/pgsrv"
	"turmericpulley/io/store"
	"turmericpulley/io/wire"
)

// leaveTimeout bounds how long a stop waits until the membership lists the instance as leaving.
const leaveTimeout = 2 * time.Second

// Server is a running instance.
type Server struct {
	settings Settings
	logger   hclog.Logger
	store    *store.Client
	peers    *peers.Service
	callers  *pgsrv.Server
	budget   *budget.Pool
	// http is read by the metrics that it serves, so also while it starts.
	http       atomic.Pointer[httpd.Server]
	meter      *meter.Meter
	ownerships *ownershipManager
	counters   owner.Counters
	recorder   *trace.Recorder
	stopping   atomic.Bool

	// baseContext ends when the instance closes.
	baseContext       context.Context
	cancel            context.CancelFunc
	localTransactions sync.WaitGroup
	closeOnce         sync.Once
}

// New starts an instance; it becomes ready once it has joined the membership and its documents are fresh.
func New(s Settings) (*Server, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	s = s.withDefaults()
	baseContext, cancel := context.WithCancel(context.Background())
	v := &Server{
		settings:    s,
		logger:      s.Logger,
		budget:      budget.New(s.limits()),
		recorder:    trace.New(s.ID, trace.DefaultCapacity),
		baseContext: baseContext,
		cancel:      cancel,
	}
	for _, start := range []func() error{v.startMeter, v.startPeers, v.startOwnerships, v.startCallers, v.startHTTP} {
		if err := start(); err != nil {
			v.Close()
			return nil, errors.Wrapf(err, "starting instance %s", s.ID)
		}
	}
	return v, nil
}

// CallersAddress returns the address to which callers connect.
func (v *Server) CallersAddress() string { return v.callers.Address().String() }

// PeersAddress returns the address to which other instances connect.
func (v *Server) PeersAddress() string { return v.peers.Address() }

// HTTPAddress returns the address of the HTTP listener for operators.
func (v *Server) HTTPAddress() string { return v.http.Load().Address() }

// Counters returns the counters of this instance's owners.
func (v *Server) Counters() *owner.Counters { return &v.counters }

func (v *Server) startMeter() error {
	m, err := meter.New()
	if err != nil {
		return err
	}
	v.meter = m
	return v.registerCounters()
}

func (v *Server) startPeers() error {
	platform := v.settings.dialAddress(v.settings.Platform)
	client, err := store.New(store.Settings{Platform: platform, Logger: v.logger.Named("store")})
	if err != nil {
		return err
	}
	v.store = client
	v.peers, err = peers.New(peers.Settings{
		Self: fleet.Instance{
			ID:          v.settings.ID,
			PeerAddress: v.settings.AdvertisedPeersAddress,
			HTTPAddress: v.settings.HTTPAddress,
			DataCentre:  v.settings.DataCentre,
			State:       fleet.Live,
		},
		Region:      v.settings.Region,
		Seeds:       v.settings.Seeds,
		Store:       client,
		Listen:      v.settings.PeersAddress,
		Logger:      v.logger.Named("peers"),
		DialAddress: v.settings.dialAddress,
	})
	return err
}

func (v *Server) startOwnerships() error {
	v.ownerships = newOwnershipManager(managerSettings{
		self:            v.settings.ID,
		region:          v.settings.Region,
		network:         v.peers,
		counters:        &v.counters,
		recorder:        v.recorder,
		resolve:         v.settings.dialAddress,
		listEntries:     v.store.Targets,
		recordPromotion: v.recordPromotion,
		recordQueueWait: v.meter.RecordQueueWait,
		budget:          v.budget,
		logger:          v.logger.Named("owner"),
		changes:         v.peers.Subscribe(),
	})
	v.peers.HandleTransactions(func(ctx context.Context, begin *wire.Begin, s peers.Stream) {
		v.ownerships.serve(ctx, begin, s)
	})
	return nil
}

func (v *Server) startCallers() error {
	callers, err := pgsrv.New(pgsrv.Settings{
		Address:        v.settings.CallersAddress,
		InstanceID:     v.settings.ID,
		Router:         newRouter(v.settings.ID, v.peers, v.openLocal, v.recorder),
		Documents:      v.peers.Documents(),
		Freshness:      v.peers,
		Logger:         v.logger.Named("callers"),
		Observe:        v.recordTransaction,
		MaxConnections: v.settings.MaxConnections,
		Budget:         v.budget,
	})
	v.callers = callers
	return err
}

func (v *Server) startHTTP() error {
	h, err := httpd.New(httpd.Settings{
		Address:        v.settings.HTTPAddress,
		Metrics:        v.meter.Handler(),
		Ready:          v.ready,
		State:          func() any { return v.Report() },
		Trace:          v.findTrace,
		ContractStatus: v.contractStatus,
		Logger:         v.logger.Named("http"),
	})
	v.http.Store(h)
	return err
}

// openLocal opens a transaction at the owner in this instance.
func (v *Server) openLocal(_ context.Context, begin *wire.Begin) (peers.Stream, error) {
	callerSide, ownerSide := peers.Pipe(types.RequestID(begin.GetRequestId()))
	v.localTransactions.Go(func() {
		defer func() { _ = ownerSide.Close() }()
		v.ownerships.serve(v.baseContext, begin, ownerSide)
	})
	return callerSide, nil
}

// ready returns why the instance should get no new connections of callers, or nil.
func (v *Server) ready() error {
	if v.stopping.Load() {
		return fault.New(fault.Stopping, "instance "+string(v.settings.ID)+" is stopping")
	}
	if _, ok := v.peers.Membership().Find(v.settings.ID); !ok {
		return fault.New(fault.Isolated, "the instance has not joined the membership yet")
	}
	return v.peers.CheckFreshness()
}

// Stop lets the requests in flight finish, hands over the databases and closes the instance, within the stop timeout.
func (v *Server) Stop(ctx context.Context) {
	v.stopping.Store(true)
	ctx, cancel := context.WithTimeout(ctx, v.settings.StopTimeout)
	defer cancel()
	v.logger.Info("instance stopping", "instance", v.settings.ID)
	leaveContext, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	if err := v.peers.Leave(leaveContext); err != nil {
		v.logger.Warn("instance not marked as leaving in the membership", "error", err)
	}
	cancelLeave()
	var drains sync.WaitGroup
	drains.Go(func() {
		if err := v.callers.Drain(ctx); err != nil {
			v.logger.Warn("callers had not finished when the stop timeout expired", "error", err)
		}
	})
	drains.Go(func() { v.ownerships.releaseAll(ctx) })
	drains.Wait()
	v.Close()
}

// Close closes the instance at once.
func (v *Server) Close() {
	v.closeOnce.Do(func() {
		v.cancel()
		if h := v.http.Load(); h != nil {
			_ = h.Close()
		}
		if v.callers != nil {
			_ = v.callers.Close()
		}
		if v.ownerships != nil {
			v.ownerships.close()
		}
		if v.peers != nil {
			v.peers.Close()
		}
		if v.store != nil {
			_ = v.store.Close()
		}
		v.localTransactions.Wait()
	})
}

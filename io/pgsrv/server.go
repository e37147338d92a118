package pgsrv

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/fault"
	"turmericpulley/core/policy"
	"turmericpulley/core/trace"
	"turmericpulley/core/types"
)

const (
	acceptRetryDelay = 50 * time.Millisecond
	requestIDShift   = 32
	// maxConcurrentRefusals is how many connections above the limit are told so; more are only closed.
	maxConcurrentRefusals = 64
)

// Server is the callers' listener.
type Server struct {
	settings        Settings
	listener        net.Listener
	buffers         *sync.Pool
	counters        Counters
	baseContext     context.Context
	cancel          context.CancelFunc
	draining        atomic.Bool
	requestCount    atomic.Uint64
	requestIDPrefix uint64 // upper half of every request id of this run
	goroutines      sync.WaitGroup

	mutex       sync.Mutex
	connections map[uint16]*connection
	cancelKeys  cancelKeyIssuer
	closed      bool
	drained     chan struct{} // closed when a draining server has no connections left
}

// New listens and starts accepting callers.
func New(settings Settings) (*Server, error) {
	listener, err := net.Listen("tcp", settings.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "listening for callers on %q", settings.Address)
	}
	s := &Server{
		settings:        settings.withDefaults(),
		listener:        listener,
		buffers:         newReadBufferPool(),
		requestIDPrefix: uint64(randomNumber()) << requestIDShift,
		connections:     make(map[uint16]*connection),
		cancelKeys:      newCancelKeyIssuer(settings.InstanceID),
		drained:         make(chan struct{}),
	}
	s.baseContext, s.cancel = context.WithCancel(context.Background())
	s.settings.Logger.Info("callers' listener started", "address", listener.Addr().String())
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		s.acceptLoop()
	}()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() net.Addr { return s.listener.Addr() }

// Counters returns the server's counters.
func (s *Server) Counters() *Counters { return &s.counters }

// Drain stops accepting and waits until every connection has finished what it is doing.
func (s *Server) Drain(ctx context.Context) error {
	if !s.draining.Swap(true) {
		s.settings.Logger.Info("callers' listener is draining")
		_ = s.listener.Close()
	}
	s.wakeAll()
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "draining with %d connections left", s.counters.Connections.Load())
	}
}

func (s *Server) wakeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range s.connections {
		c.wake()
	}
	s.signalIfDrained()
}

// signalIfDrained tells Drain when the last connection is gone; the mutex is held.
func (s *Server) signalIfDrained() {
	if !s.draining.Load() || len(s.connections) > 0 {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// Close ends every connection at once and waits for the server's goroutines.
func (s *Server) Close() error {
	s.cancel()
	err := s.listener.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	s.closeAll()
	s.goroutines.Wait()
	s.settings.Logger.Info("callers' listener closed")
	return errors.Wrap(err, "closing the callers' listener")
}

func (s *Server) closeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	for _, c := range s.connections {
		_ = c.conn.Close()
	}
}

func (s *Server) acceptLoop() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.serveConnection(conn)
	}
}

// serveConnection starts serving a connection when there is room for it.
func (s *Server) serveConnection(conn net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	excess := len(s.connections) - s.settings.MaxConnections
	if s.closed || excess >= maxConcurrentRefusals {
		s.counters.ConnectionsRefused.Add(1)
		_ = conn.Close()
		return
	}
	key := s.cancelKeys.issue(s.connections)
	s.connections[key.connectionNumber()] = newConnection(s, conn, key, excess >= 0)
	s.counters.Connections.Add(1)
}

// removeConnection removes a connection that has ended.
func (s *Server) removeConnection(c *connection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, c.key.connectionNumber())
	s.counters.Connections.Add(-1)
	s.signalIfDrained()
}

// authorize checks what the customer may reach.
func (s *Server) authorize(customer types.CustomerID, database types.DatabaseID) (policy.Contract, types.Revision, *fault.Fault) {
	g, f := policy.Resolve(s.settings.Documents, customer, database)
	if f == nil {
		return g.Contract, g.Revision, nil
	}
	// An instance that has just started may lack documents that exist.
	if err := s.settings.Freshness.CheckFreshness(); err != nil {
		f = asFault(err, fault.Isolated)
	}
	return policy.Contract{}, 0, f
}

// countError counts an error that a caller is told.
func (s *Server) countError(f *fault.Fault) {
	if f == nil {
		return
	}
	if f.Outcome == fault.Unknown {
		s.counters.UnknownOutcomes.Add(1)
		return
	}
	s.counters.Refusals.Add(f.Kind)
}

// nextRequestID returns an id that no other request of this run has.
func (s *Server) nextRequestID() uint64 {
	return s.requestIDPrefix | s.requestCount.Add(1)&(1<<requestIDShift-1)
}

// requestReference tells the reader of an error how to find the request's trail.
func (s *Server) requestReference(id types.RequestID) string {
	if id == 0 {
		return ""
	}
	return "request " + trace.ID(id).String() + " at instance " + string(s.settings.InstanceID)
}

func randomNumber() uint32 {
	var data [4]byte
	_, _ = rand.Read(data[:]) // never fails
	return binary.BigEndian.Uint32(data[:])
}

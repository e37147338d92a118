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

	"turmericpulley/core/budget"
	"turmericpulley/core/fault"
	"turmericpulley/core/policy"
	"turmericpulley/core/trace"
	"turmericpulley/core/types"
	"turmericpulley/io/sock"
)

const (
	acceptRetryDelay = 50 * time.Millisecond
	requestIDShift   = 32
	// maxConcurrentRefusals is how many connections above the limit get an error at a time; further ones are just closed.
	maxConcurrentRefusals = 64
	// kernelBufferBytes bounds what the kernel holds for a connection in each direction, which counts as the machine's memory; the kernel
	// doubles it for its own needs.
	kernelBufferBytes = 64 << 10
)

// Server accepts connections of callers and serves them.
type Server struct {
	settings        Settings
	listener        net.Listener
	buffers         *sync.Pool
	counters        Counters
	budget          *budget.Pool
	baseContext     context.Context
	cancel          context.CancelFunc
	draining        atomic.Bool
	requestCount    atomic.Uint64
	requestIDPrefix uint64 // upper half of all request ids of this process, chosen at random
	goroutines      sync.WaitGroup

	mutex       sync.Mutex
	connections map[uint16]*connection
	cancelKeys  cancelKeyIssuer
	closed      bool
	drained     chan struct{} // closed when a draining server has no connections left
}

// New listens on the address in the settings and starts accepting connections.
func New(settings Settings) (*Server, error) {
	config := net.ListenConfig{Control: sock.BufferControl(kernelBufferBytes, kernelBufferBytes)}
	listener, err := config.Listen(context.Background(), "tcp", settings.Address)
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
	s.budget = s.settings.Budget
	s.baseContext, s.cancel = context.WithCancel(context.Background())
	s.settings.Logger.Info("callers' listener started", "address", listener.Addr().String())
	s.goroutines.Go(s.acceptLoop)
	s.goroutines.Go(s.watchBudget)
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() net.Addr { return s.listener.Addr() }

// Counters returns the server's counters.
func (s *Server) Counters() *Counters { return &s.counters }

// Drain stops accepting connections, lets open transactions finish and waits until every connection has been closed. It
// returns an error when the context ends first.
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
		return errors.Wrapf(ctx.Err(), "draining ended with %d open connections", s.counters.Connections.Load())
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

// signalIfDrained unblocks Drain when no connection is left; the mutex is held.
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

// Close closes all connections at once and waits for the server's goroutines.
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

// serveConnection starts serving a connection, or closes it when the server is closed or is refusing too many
// connections already.
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

// removeConnection removes a closed connection.
func (s *Server) removeConnection(c *connection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, c.key.connectionNumber())
	s.counters.Connections.Add(-1)
	s.signalIfDrained()
}

// authorize returns the customer's contract and its revision, or a fault when it does not allow the database.
func (s *Server) authorize(customer types.AccountID, database types.DatabaseID) (policy.Contract, types.Revision, *fault.Fault) {
	resolved, f := policy.Resolve(s.settings.Documents, customer, database)
	if f == nil {
		return resolved.Contract, resolved.Revision, nil
	}
	// An instance that has just started may not have received all documents yet. The fault can then be wrong. If
	// its freshness check fails, authorize returns that error instead.
	if err := s.settings.Freshness.CheckFreshness(); err != nil {
		f = asFault(err, fault.Isolated)
	}
	return policy.Contract{}, 0, f
}

// countError counts an error that is sent to a caller.
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

// nextRequestID returns an id that no other request of this process has.
func (s *Server) nextRequestID() uint64 {
	return s.requestIDPrefix | s.requestCount.Add(1)&(1<<requestIDShift-1)
}

// requestReference names a request and the instance, so that the reader of an error can look up the request's trace.
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

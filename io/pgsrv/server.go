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
	// maxRefusedAtOnce is how many connections above the limit are told so; more are only closed.
	maxRefusedAtOnce = 64
)

// Server is the callers' listener.
type Server struct {
	settings  Settings
	listener  net.Listener
	buffers   *sync.Pool
	counters  Counters
	running   context.Context
	cancel    context.CancelFunc
	draining  atomic.Bool
	requests  atomic.Uint64
	requestID uint64 // upper half of every request id of this run
	wait      sync.WaitGroup

	mutex   sync.Mutex
	callers map[uint16]*caller
	keys    keyring
	closed  bool
	drained chan struct{} // closed when a draining server has no connections left
}

// New listens and starts accepting callers.
func New(settings Settings) (*Server, error) {
	listener, err := net.Listen("tcp", settings.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "listening for callers on %q", settings.Address)
	}
	s := &Server{
		settings:  settings.withDefaults(),
		listener:  listener,
		buffers:   newReadBufferPool(),
		requestID: uint64(randomNumber()) << requestIDShift,
		callers:   make(map[uint16]*caller),
		keys:      newKeyring(settings.InstanceID),
		drained:   make(chan struct{}),
	}
	s.running, s.cancel = context.WithCancel(context.Background())
	s.settings.Logger.Info("callers' listener started", "address", listener.Addr().String())
	s.wait.Add(1)
	go func() {
		defer s.wait.Done()
		s.accept()
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
	for _, c := range s.callers {
		c.wake()
	}
	s.checkDrained()
}

// checkDrained tells Drain when the last connection is gone; the mutex is held.
func (s *Server) checkDrained() {
	if !s.draining.Load() || len(s.callers) > 0 {
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
	s.wait.Wait()
	s.settings.Logger.Info("callers' listener closed")
	return errors.Wrap(err, "closing the callers' listener")
}

func (s *Server) closeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	for _, c := range s.callers {
		_ = c.conn.Close()
	}
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.admit(conn)
	}
}

// admit starts serving a connection when there is room for it.
func (s *Server) admit(conn net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	excess := len(s.callers) - s.settings.MaxConnections
	if s.closed || excess >= maxRefusedAtOnce {
		s.counters.ConnectionsRefused.Add(1)
		_ = conn.Close()
		return
	}
	key := s.keys.issue(s.callers)
	s.callers[key.number()] = newCaller(s, conn, key, excess >= 0)
	s.counters.Connections.Add(1)
}

// forget removes a connection that has ended.
func (s *Server) forget(c *caller) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.callers, c.key.number())
	s.counters.Connections.Add(-1)
	s.checkDrained()
}

// authorize checks what the customer may reach.
func (s *Server) authorize(customer types.CustomerID, database types.DatabaseID) (policy.Contract, types.Revision, *fault.Fault) {
	g, f := policy.Resolve(s.settings.Book, customer, database)
	if f == nil {
		return g.Contract, g.Revision, nil
	}
	// An instance that has just started may lack documents that exist.
	if err := s.settings.Gate.Fresh(); err != nil {
		f = asFault(err, fault.Isolated)
	}
	return policy.Contract{}, 0, f
}

// count counts an error that a caller is told.
func (s *Server) count(f *fault.Fault) {
	if f == nil {
		return
	}
	if f.Outcome == fault.Unknown {
		s.counters.OutcomesUnknown.Add(1)
		return
	}
	s.counters.Refusals.Add(f.Kind)
}

// nextRequestID returns an id that no other request of this run has.
func (s *Server) nextRequestID() uint64 { return s.requestID | s.requests.Add(1)&(1<<requestIDShift-1) }

// where tells the reader of an error how to find the request's trail.
func (s *Server) where(id types.RequestID) string {
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

package front

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"turmericpulley/core/fault"
	"turmericpulley/core/pause"
	"turmericpulley/core/routes"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
	"turmericpulley/io/meter"
)

const (
	// startupTimeout bounds the wait for the message that opens a session.
	startupTimeout = 3 * time.Second
	// acceptRetryDelay follows a connection that could not be accepted, usually for want of file descriptors.
	acceptRetryDelay = 20 * time.Millisecond
	// deregistrationDelay is how long after the signal to stop new connections may still arrive: two probes a second apart must
	// fail first.
	deregistrationDelay = 2200 * time.Millisecond
	// transactionGraceShare is the part of the time to stop that open transactions have to end.
	transactionGraceShare = 0.5
	// firstConfigurationTimeout bounds the wait of a session for the instance's first configuration.
	firstConfigurationTimeout = 1500 * time.Millisecond
)

// Settings are what a server is made from.
type Settings struct {
	Listener net.Listener
	// NewCallerConn makes a caller of an accepted connection.
	NewCallerConn func(net.Conn) CallerConn
	Routes        *routes.CurrentTable
	Router        Router
	Logger        hclog.Logger
	// Meter measures answers by route; nil measures nothing.
	Meter *meter.Meter
	// MaxConnections bounds the sessions.
	MaxConnections int
}

// Counters count what the server did since its start.
type Counters struct {
	Sessions  atomic.Int64
	Served    atomic.Uint64
	Failed    atomic.Uint64
	Malformed atomic.Int64
}

// Server accepts callers and serves their sessions.
type Server struct {
	settings Settings
	logger   hclog.Logger
	counters Counters
	running  sync.WaitGroup
	// closeIdleAt is the Unix time in nanoseconds from which a stopping server closes idle sessions, and lateAt open
	// transactions; zero while it does not stop.
	closeIdleAt, closeTransactionsAt atomic.Int64

	mu       sync.Mutex
	sessions map[CallerConn]bool
	closed   bool
}

// New starts to accept callers.
func New(s Settings) *Server {
	server := &Server{settings: s, logger: s.Logger, sessions: map[CallerConn]bool{}}
	server.running.Go(func() {
		for {
			conn, err := s.Listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				pause.For(context.Background(), acceptRetryDelay)
				continue
			}
			server.accept(conn)
		}
	})
	return server
}

// Counters returns what the server counts.
func (s *Server) Counters() *Counters { return &s.counters }

func (s *Server) accept(conn net.Conn) {
	caller := s.settings.NewCallerConn(conn)
	s.mu.Lock()
	if s.closed || len(s.sessions) >= s.settings.MaxConnections {
		s.mu.Unlock()
		_ = caller.Close()
		return
	}
	s.sessions[caller] = true
	s.mu.Unlock()
	s.counters.Sessions.Add(1)
	s.running.Go(func() {
		defer func() {
			_ = caller.Close()
			s.counters.Sessions.Add(-1)
			s.mu.Lock()
			delete(s.sessions, caller)
			s.mu.Unlock()
		}()
		s.serveCaller(caller)
	})
}

// serveCaller reads the opening message and serves the session.
func (s *Server) serveCaller(caller CallerConn) {
	_ = caller.SetIdleTimeout(startupTimeout)
	name, err := caller.ReadStartup()
	if err != nil {
		if !isDisconnect(err) {
			s.counters.Malformed.Add(1)
			_ = caller.RejectStartup(stmt.Malformed, err.Error())
		}
		return
	}
	if code, text := s.checkRoute(name); code != stmt.OK {
		s.logger.Info("session refused", "route", name, "code", code, "reason", text)
		_ = caller.RejectStartup(code, text)
		return
	}
	if caller.AcceptStartup() != nil {
		return
	}
	session := &session{server: s, caller: caller, routeName: name, values: map[string]string{}, prepared: map[string]preparedStatement{}}
	session.serve()
}

// checkRoute decides whether a session may be opened for the name.
func (s *Server) checkRoute(name routes.Name) (stmt.Code, string) {
	table := s.settings.Routes.Table()
	if table == nil {
		ctx, cancel := context.WithTimeout(context.Background(), firstConfigurationTimeout)
		defer cancel()
		select {
		case <-s.settings.Routes.Changed():
			table = s.settings.Routes.Table()
		case <-ctx.Done():
		}
	}
	if table == nil {
		return stmt.Overloaded, "the configuration is not known yet; come back in a second"
	}
	if _, known := table.Routes[name]; !known {
		return stmt.UnknownDatabase, "no route has the name " + string(name)
	}
	return stmt.OK, ""
}

// recordReply counts and measures an answer, and logs one that reports a failure; metrics have a series for each route.
func (s *Server) recordReply(name routes.Name, id string, r stmt.Reply, elapsed time.Duration) {
	class := meter.Served
	switch r.Code {
	case stmt.OK:
		s.counters.Served.Add(1)
	case stmt.OutcomeUnknown, stmt.TimedOut:
		class = meter.Unknown
	default:
		class = meter.Refused
	}
	customer := types.CustomerID(name)
	if r.Code != stmt.OK {
		s.counters.Failed.Add(1)
		s.logger.Info("request answered with an error", "request", id, "route", name, "code", r.Code, "reason", r.Text,
			"elapsed", elapsed.String())
	}
	if s.settings.Meter == nil {
		return
	}
	s.settings.Meter.RecordRequest(meter.Request{Customer: customer, Class: class, Elapsed: elapsed})
	if class == meter.Refused {
		s.settings.Meter.CountRefusal(customer, fault.Kind(r.Code))
	}
}

// Stop ends sessions as they become idle, gives open transactions half of the grace to end, and closes the rest.
func (s *Server) Stop(grace time.Duration) {
	now := time.Now()
	rotation := min(deregistrationDelay, grace/3)
	s.closeTransactionsAt.Store(now.Add(time.Duration(transactionGraceShare * float64(grace))).UnixNano())
	s.closeIdleAt.Store(now.Add(rotation).UnixNano())
	end := now.Add(grace)
	pause.For(context.Background(), rotation)
	for time.Now().Before(end) {
		s.wakeSessions()
		if s.counters.Sessions.Load() == 0 {
			break
		}
		pause.For(context.Background(), 50*time.Millisecond)
	}
	_ = s.settings.Listener.Close()
	s.mu.Lock()
	s.closed = true
	for caller := range s.sessions {
		_ = caller.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

// wakeSessions wakes sessions that wait for a statement, so that they notice the stop.
func (s *Server) wakeSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for caller := range s.sessions {
		caller.Interrupt()
	}
}

func (s *Server) isStopping() bool { return s.closeIdleAt.Load() != 0 }

// mustClose reports whether a session in the state is to be closed now.
func (s *Server) mustClose(state stmt.State) bool {
	if !s.isStopping() {
		return false
	}
	if state == stmt.Idle {
		return time.Now().UnixNano() >= s.closeIdleAt.Load()
	}
	return s.transactionTimeOver()
}

// transactionTimeOver reports whether the time of open transactions is over.
func (s *Server) transactionTimeOver() bool {
	return time.Now().UnixNano() >= s.closeTransactionsAt.Load()
}

func isDisconnect(err error) bool {
	var operation *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.As(err, &operation)
}

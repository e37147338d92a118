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

	"turmericpulley/core/acct"
	"turmericpulley/core/budget"
	"turmericpulley/core/fault"
	"turmericpulley/core/pause"
	"turmericpulley/core/routes"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
	"turmericpulley/core/usage"
	"turmericpulley/io/logs"
	"turmericpulley/io/meter"
)

const (
	// startupTimeout bounds the wait for the message that opens a session.
	startupTimeout = 3 * time.Second
	// acceptRetryDelay is the wait after a connection could not be accepted, usually for lack of file descriptors.
	acceptRetryDelay = 20 * time.Millisecond
	// deregistrationDelay is how long new connections may still arrive after the signal to stop: two health checks, one
	// second apart, must fail first.
	deregistrationDelay = 2200 * time.Millisecond
	// transactionGraceShare is the share of the grace period in which open transactions may still end.
	transactionGraceShare = 0.5
	// firstConfigurationTimeout bounds how long a new session waits for the instance's first configuration.
	firstConfigurationTimeout = 1500 * time.Millisecond
)

// Settings configure a server.
type Settings struct {
	Listener net.Listener
	// NewCallerConn wraps an accepted connection.
	NewCallerConn func(net.Conn) CallerConn
	Routes        *routes.CurrentTable
	Router        Router
	Logger        hclog.Logger
	// Meter measures replies by route; nil measures nothing.
	Meter *meter.Meter
	// Budget bounds what is taken in for callers; nil means the limits of a machine that is not known.
	Budget *budget.Pool
	// Usage counts replies by client account; nil counts nothing.
	Usage *usage.Table
	// KeysProved reports whether it is proved that no key in force here was withdrawn too long ago; nil needs no proof.
	KeysProved func() bool
	// Outdated reports whether the configuration in force may lack changes that were confirmed a while ago; nil means never.
	Outdated func() bool
	// Superseded reports whether other instances have had a newer configuration for a while that has not arrived here; nil means never.
	// What the one in force allows may be forbidden by now, so nothing new is served meanwhile.
	Superseded func() bool
}

// Counters count the open sessions, the replies, the malformed messages and the messages that ended in the middle.
type Counters struct {
	Sessions  atomic.Int64
	Served    atomic.Uint64
	Failed    atomic.Uint64
	Malformed atomic.Int64
	Truncated atomic.Int64
}

// Server accepts callers and serves their sessions.
type Server struct {
	settings   Settings
	logger     hclog.Logger
	counters   Counters
	budget     *budget.Pool
	overLimits *overLimits
	goroutines sync.WaitGroup
	// closeIdleAt and closeTransactionsAt are the Unix times in nanoseconds from which a stopping server closes idle sessions
	// and those with an open transaction; zero while the server is not stopping.
	closeIdleAt, closeTransactionsAt atomic.Int64

	mu       sync.Mutex
	sessions map[CallerConn]bool
	closed   bool
	// stopped is closed when the server has stopped.
	stopped chan struct{}
}

// New returns a server that accepts callers.
func New(s Settings) *Server {
	server := &Server{
		settings: s, logger: s.Logger, budget: s.Budget, sessions: map[CallerConn]bool{}, overLimits: newOverLimits(), stopped: make(chan struct{}),
	}
	if server.budget == nil {
		server.budget = budget.New(budget.LimitsFor(0, 0))
	}
	server.goroutines.Go(server.watchBudget)
	server.goroutines.Go(func() {
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

// Counters returns the server's counters.
func (s *Server) Counters() *Counters { return &s.counters }

func (s *Server) accept(conn net.Conn) {
	caller := s.settings.NewCallerConn(conn)
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		_ = caller.Close()
		return
	}
	s.sessions[caller] = true
	s.mu.Unlock()
	s.counters.Sessions.Add(1)
	holder := s.budget.Open(func() { _ = caller.Close() })
	caller.Bind(holder)
	s.goroutines.Go(func() {
		defer func() {
			_ = caller.Close()
			holder.Close()
			s.counters.Sessions.Add(-1)
			s.mu.Lock()
			delete(s.sessions, caller)
			s.mu.Unlock()
		}()
		s.serveCaller(caller, holder)
	})
}

// serveCaller reads the opening message and serves the session.
func (s *Server) serveCaller(caller CallerConn, holder *budget.Holder) {
	_ = caller.SetIdleTimeout(startupTimeout)
	name, key, err := caller.ReadStartup()
	if errors.Is(err, ErrNoRoom) {
		_ = caller.RejectStartup(stmt.Overloaded, err.Error())
		return
	}
	if err != nil {
		if !isDisconnect(err) {
			s.counters.Malformed.Add(1)
			_ = caller.RejectStartup(stmt.Malformed, err.Error())
		}
		return
	}
	account, code, text := s.checkStartup(name, key)
	if code == stmt.OK && !holder.Start(account) {
		code, text = stmt.Overloaded, textNoSession
	}
	if code != stmt.OK {
		route := logs.Text(string(name))
		if code == stmt.UnknownDatabase {
			// The text has the name when it is certainly no key.
			route = ""
		}
		s.logger.Info("session refused", "route", route, "code", code, "reason", logs.Text(text))
		_ = caller.RejectStartup(code, text)
		return
	}
	if caller.AcceptStartup() != nil {
		return
	}
	session := &session{server: s, caller: caller, routeName: name, key: key, holder: holder, held: newHeldState(holder)}
	session.serve()
}

// checkStartup returns the account of the key and OK when a session may be opened for the name, else the code and text of the refusal. It
// waits for the first configuration.
func (s *Server) checkStartup(name routes.Name, key acct.Digest) (types.AccountID, stmt.Code, string) {
	if s.settings.Routes.Table() == nil {
		ctx, cancel := context.WithTimeout(context.Background(), firstConfigurationTimeout)
		defer cancel()
		select {
		case <-s.settings.Routes.Changed():
		case <-ctx.Done():
		}
	}
	table, proved := s.provedTable()
	if table == nil {
		return "", stmt.Overloaded, "the configuration is not loaded yet; come back in a second"
	}
	route, known := table.Routes[name]
	if s.mayLackChange(known) {
		return "", stmt.Overloaded, textOutdated
	}
	if !known {
		if table.Accounts != nil {
			// A caller that exchanged the two words of its startup message gave its key as the name.
			return "", stmt.UnknownDatabase, "no route has the name in the startup message"
		}
		return "", stmt.UnknownDatabase, "no route has the name " + string(name)
	}
	return identify(table, proved, route, key)
}

// textOutdated refuses what a newer configuration may decide otherwise.
const textOutdated = "the configuration here may lack a recent change; come back in a second"

// mayLackChange reports whether a route, which the configuration in force knows or does not know, must not be decided by it.
func (s *Server) mayLackChange(known bool) bool {
	if s.settings.Superseded != nil && s.settings.Superseded() {
		return true
	}
	return !known && s.settings.Outdated != nil && s.settings.Outdated()
}

// recordReply counts and measures a reply, and logs it if it is an error. The metrics have one series per route.
func (s *Server) recordReply(name routes.Name, account types.AccountID, id string, r stmt.Reply, elapsed time.Duration) {
	class := meter.Served
	switch r.Code {
	case stmt.OK:
		s.counters.Served.Add(1)
	case stmt.OutcomeUnknown, stmt.TimedOut:
		class = meter.Unknown
	default:
		class = meter.Refused
	}
	customer := types.AccountID(name)
	if r.Code != stmt.OK {
		s.counters.Failed.Add(1)
		logger := s.logger
		if account != "" {
			logger = logger.With("account", account)
		}
		logger.Info("request answered with an error", "request", logs.Text(id), "route", name, "code", r.Code, "reason", logs.Text(r.Text),
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

// Stop closes sessions as they become idle, gives open transactions half of the grace period to end, and closes the rest.
func (s *Server) Stop(gracePeriod time.Duration) {
	now := time.Now()
	idleDelay := min(deregistrationDelay, gracePeriod/3)
	s.closeTransactionsAt.Store(now.Add(time.Duration(transactionGraceShare * float64(gracePeriod))).UnixNano())
	s.closeIdleAt.Store(now.Add(idleDelay).UnixNano())
	end := now.Add(gracePeriod)
	pause.For(context.Background(), idleDelay)
	for time.Now().Before(end) {
		s.WakeSessions()
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
	close(s.stopped)
	s.goroutines.Wait()
}

// WakeSessions interrupts the sessions that wait for a statement, so that they notice that the server stops or that their keys can no
// longer be served.
func (s *Server) WakeSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for caller := range s.sessions {
		caller.Interrupt()
	}
}

func (s *Server) isStopping() bool { return s.closeIdleAt.Load() != 0 }

// mustClose reports whether the server is stopping and the time to close sessions in the given state has come.
func (s *Server) mustClose(state stmt.State) bool {
	if !s.isStopping() {
		return false
	}
	if state == stmt.Idle {
		return time.Now().UnixNano() >= s.closeIdleAt.Load()
	}
	return s.transactionTimeOver()
}

// transactionTimeOver reports whether the time for open transactions to end is over.
func (s *Server) transactionTimeOver() bool {
	return time.Now().UnixNano() >= s.closeTransactionsAt.Load()
}

func isDisconnect(err error) bool {
	var operation *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.As(err, &operation)
}

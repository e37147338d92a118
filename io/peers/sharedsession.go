package peers

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// redialDelay is how long after a failed dial further attempts fail without dialling.
const redialDelay = 100 * time.Millisecond

const (
	// maxUncheckedIdle is how long a session may have received nothing and still be used without a ping.
	maxUncheckedIdle = time.Second
	// idlePingTimeout bounds the wait for the response to the ping of an idle session.
	idlePingTimeout = 300 * time.Millisecond
)

const recentDialFailure = "a recent attempt to connect to the instance failed"

var (
	// errRecentDialFailure reports that a dial failed within the last redialDelay.
	errRecentDialFailure = errors.New(recentDialFailure)
	// errRecentDialRefused reports the same of a dial that was refused, which tells callers that no process listens there.
	errRecentDialRefused = errors.WithMessage(syscall.ECONNREFUSED, recentDialFailure)
)

// sharedSession is the session to one address that all callers share. The session is opened when it is first needed and
// replaced when it does not respond.
type sharedSession struct {
	address        string
	counters       *Counters
	sessionMonitor *sessionMonitor
	// dialLock has a capacity of one and serialises the callers that check or open a session. It is a channel so that a
	// context can end the wait.
	dialLock chan struct{}

	mu              sync.Mutex
	session         *session
	lastUsed        time.Time
	lastDialFailure time.Time
	// recentFailure is what attempts within redialDelay of lastDialFailure fail with.
	recentFailure error
	closed        bool
}

func newSharedSession(address string, counters *Counters, monitor *sessionMonitor) *sharedSession {
	return &sharedSession{
		address: address, counters: counters, sessionMonitor: monitor, dialLock: make(chan struct{}, 1), lastUsed: time.Now(),
	}
}

// get returns the session, and opens a new one when there is none or the present one does not respond.
func (s *sharedSession) get(ctx context.Context) (*session, error) {
	if session := s.current(); session != nil && session.idleTime() < maxUncheckedIdle {
		return session, nil
	}
	select {
	case s.dialLock <- struct{}{}:
		defer func() { <-s.dialLock }()
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "waiting for a session")
	}
	if session := s.current(); session != nil {
		if session.idleTime() < maxUncheckedIdle || session.responds(ctx, idlePingTimeout) {
			return session, nil
		}
		s.counters.SessionsReplaced.Add(1)
		closeQuietly(session)
	}
	if err := s.recentDialFailure(); err != nil {
		return nil, err
	}
	session, err := dialSession(ctx, s.address, s.counters)
	if err != nil {
		s.recordDialFailure(err)
		return nil, err
	}
	s.replace(session)
	return session, nil
}

// unresponsiveSince reports whether nothing has arrived over the session since the given time, or there is no open
// session.
func (s *sharedSession) unresponsiveSince(since time.Time) bool {
	session := s.current()
	return session == nil || session.conn.lastReceivedAt().Before(since)
}

// recordUse records that the session is about to be used.
func (s *sharedSession) recordUse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUsed = time.Now()
}

// replace installs the session and closes the previous one. After close it closes the given session instead, and leaves
// the previous one open.
func (s *sharedSession) replace(session *session) {
	s.mu.Lock()
	previous := s.session
	s.session, s.lastUsed, s.lastDialFailure = session, time.Now(), time.Time{}
	if session != nil {
		s.sessionMonitor.add(session)
	}
	if s.closed {
		s.session, previous = nil, session
	}
	s.mu.Unlock()
	if previous != nil {
		closeQuietly(previous)
	}
}

// retire drops the session without closing it, if it is the present one. The session monitor closes it when its streams have ended.
func (s *sharedSession) retire(used *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session != used {
		return
	}
	s.session = nil
	used.retired.Store(true)
	s.counters.SessionsReplaced.Add(1)
}

// closeIdle closes the session if it has no streams and was not used since the given time. It returns whether the
// shared session is unused and can be dropped.
func (s *sharedSession) closeIdle(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastUsed.After(since) {
		return false
	}
	if s.session == nil {
		return true
	}
	if s.session.NumStreams() > 0 {
		return false
	}
	closeQuietly(s.session)
	s.session = nil
	return true
}

// close drops the session without closing it, and prevents a new one from being installed.
func (s *sharedSession) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.replace(nil)
}

func (s *sharedSession) current() *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session == nil || s.session.IsClosed() {
		return nil
	}
	return s.session
}

// recentDialFailure returns why no attempt is made to dial now, nil when there may be one.
func (s *sharedSession) recentDialFailure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.lastDialFailure) >= redialDelay {
		return nil
	}
	return s.recentFailure
}

func (s *sharedSession) recordDialFailure(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastDialFailure, s.recentFailure = time.Now(), errRecentDialFailure
	if errors.Is(cause, syscall.ECONNREFUSED) {
		s.recentFailure = errRecentDialRefused
	}
}

package peers

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// redialDelay is how long a failed dial answers for those that follow.
const redialDelay = 100 * time.Millisecond

const (
	// maxUncheckedIdle is how long a session may be idle and still be used without asking for a sign of life.
	maxUncheckedIdle = time.Second
	// idlePingTimeout bounds the wait for the sign of life of an idle session.
	idlePingTimeout = 300 * time.Millisecond
)

// errRecentDialFailure reports that the instance could not be reached a moment ago.
var errRecentDialFailure = errors.New("the instance could not be reached a moment ago")

// sharedSession holds the standing session to one address; a session is opened when it is first needed.
type sharedSession struct {
	address        string
	counters       *Counters
	sessionMonitor *sessionMonitor
	// dialLock has room for the one caller that opens a session.
	dialLock chan struct{}

	mu              sync.Mutex
	session         *session
	lastUsed        time.Time
	lastDialFailure time.Time
	closed          bool
}

func newSharedSession(address string, counters *Counters, k *sessionMonitor) *sharedSession {
	return &sharedSession{
		address: address, counters: counters, sessionMonitor: k, dialLock: make(chan struct{}, 1), lastUsed: time.Now(),
	}
}

// get returns the session and opens one when there is none, or none that answers.
func (l *sharedSession) get(ctx context.Context) (*session, error) {
	if session := l.current(); session != nil && session.idleTime() < maxUncheckedIdle {
		return session, nil
	}
	select {
	case l.dialLock <- struct{}{}:
		defer func() { <-l.dialLock }()
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "waiting for a session")
	}
	if session := l.current(); session != nil {
		if session.idleTime() < maxUncheckedIdle || session.responds(ctx, idlePingTimeout) {
			return session, nil
		}
		l.counters.SessionsReplaced.Add(1)
		closeQuietly(session)
	}
	if l.dialFailedRecently() {
		return nil, errRecentDialFailure
	}
	session, err := dialSession(ctx, l.address, l.counters)
	if err != nil {
		l.recordDialFailure()
		return nil, err
	}
	l.replace(session)
	return session, nil
}

// unresponsiveSince reports whether nothing has arrived over the standing session since the time.
func (l *sharedSession) unresponsiveSince(since time.Time) bool {
	session := l.current()
	return session == nil || session.conn.lastReceivedAt().Before(since)
}

// recordUse notes that the link is about to be used.
func (l *sharedSession) recordUse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastUsed = time.Now()
}

// replace makes the session the standing one and closes the one before.
func (l *sharedSession) replace(session *session) {
	l.mu.Lock()
	previous := l.session
	l.session, l.lastUsed, l.lastDialFailure = session, time.Now(), time.Time{}
	if session != nil {
		l.sessionMonitor.add(session)
	}
	if l.closed {
		l.session, previous = nil, session
	}
	l.mu.Unlock()
	if previous != nil {
		closeQuietly(previous)
	}
}

// closeIdle closes a session without streams that was not used since the time; it returns whether the link is unused.
func (l *sharedSession) closeIdle(since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastUsed.After(since) {
		return false
	}
	if l.session == nil {
		return true
	}
	if l.session.NumStreams() > 0 {
		return false
	}
	closeQuietly(l.session)
	l.session = nil
	return true
}

// close ends the session for good.
func (l *sharedSession) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.replace(nil)
}

func (l *sharedSession) current() *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session == nil || l.session.IsClosed() {
		return nil
	}
	return l.session
}

func (l *sharedSession) dialFailedRecently() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.lastDialFailure) < redialDelay
}

func (l *sharedSession) recordDialFailure() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastDialFailure = time.Now()
}

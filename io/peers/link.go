package peers

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// dialPause is how long a failed dial answers for those that follow.
const dialPause = 100 * time.Millisecond

const (
	// idleTrust is how long a session may be idle and still be used without asking for a sign of life.
	idleTrust = time.Second
	// idleAnswer bounds the wait for the sign of life of an idle session.
	idleAnswer = 300 * time.Millisecond
)

// errDialPause reports that the instance could not be reached a moment ago.
var errDialPause = errors.New("the instance could not be reached a moment ago")

// link holds the standing session to one address; a session is opened when it is first needed.
type link struct {
	address  string
	counters *Counters
	keeper   *keeper
	// dialling has room for the one caller that opens a session.
	dialling chan struct{}

	mu      sync.Mutex
	session *session
	used    time.Time
	failed  time.Time
	closed  bool
}

func newLink(address string, counters *Counters, k *keeper) *link {
	return &link{
		address: address, counters: counters, keeper: k, dialling: make(chan struct{}, 1), used: time.Now(),
	}
}

// get returns the session and opens one when there is none, or none that answers.
func (l *link) get(ctx context.Context) (*session, error) {
	if session := l.current(); session != nil && session.idle() < idleTrust {
		return session, nil
	}
	select {
	case l.dialling <- struct{}{}:
		defer func() { <-l.dialling }()
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "waiting for a session")
	}
	if session := l.current(); session != nil {
		if session.idle() < idleTrust || session.answers(ctx, idleAnswer) {
			return session, nil
		}
		l.counters.SessionsReplaced.Add(1)
		closeQuietly(session)
	}
	if l.failedLately() {
		return nil, errDialPause
	}
	session, err := dialSession(ctx, l.address, l.counters)
	if err != nil {
		l.fail()
		return nil, err
	}
	l.replace(session)
	return session, nil
}

// silentSince reports whether nothing has arrived over the standing session since the time.
func (l *link) silentSince(since time.Time) bool {
	session := l.current()
	return session == nil || session.conn.lastHeard().Before(since)
}

// touch notes that the link is about to be used.
func (l *link) touch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used = time.Now()
}

// replace makes the session the standing one and closes the one before.
func (l *link) replace(session *session) {
	l.mu.Lock()
	previous := l.session
	l.session, l.used, l.failed = session, time.Now(), time.Time{}
	if session != nil {
		l.keeper.add(session)
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
func (l *link) closeIdle(since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.used.After(since) {
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
func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.replace(nil)
}

func (l *link) current() *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session == nil || l.session.IsClosed() {
		return nil
	}
	return l.session
}

func (l *link) failedLately() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.failed) < dialPause
}

func (l *link) fail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = time.Now()
}

package peers

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"turmericpulley/core/fault"
)

const (
	// idleSessionTimeout is how long a session without streams stays open.
	idleSessionTimeout = time.Minute
	// idleCheckInterval is the time between two searches for idle sessions.
	idleCheckInterval = 10 * time.Second
)

// sessionPool holds the standing sessions to other instances by their address.
type sessionPool struct {
	dialAddress    func(address string) string
	counters       *Counters
	sessionMonitor *sessionMonitor
	stop           chan struct{}
	goroutines     sync.WaitGroup

	mu        sync.Mutex
	byAddress map[string]*sharedSession
	closed    bool
}

func newSessionPool(mapped func(string) string, counters *Counters, k *sessionMonitor) *sessionPool {
	l := &sessionPool{
		dialAddress: mapped, counters: counters, sessionMonitor: k, stop: make(chan struct{}), byAddress: make(map[string]*sharedSession),
	}
	l.goroutines.Go(func() {
		ticker := time.NewTicker(idleCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-l.stop:
				return
			case <-ticker.C:
				l.closeIdle(time.Now().Add(-idleSessionTimeout))
			}
		}
	})
	return l
}

// openStream opens a stream to the instance at the address, once more on a new session when the first has just ended.
func (l *sessionPool) openStream(ctx context.Context, address string) (*yamux.Stream, *session, error) {
	held, err := l.forAddress(address)
	if err != nil {
		return nil, nil, err
	}
	session, err := held.get(ctx)
	if err != nil {
		return nil, nil, err
	}
	stream, err := session.OpenStream()
	if err == nil {
		return stream, session, nil
	}
	closeQuietly(session)
	if session, err = held.get(ctx); err != nil {
		return nil, nil, err
	}
	stream, err = session.OpenStream()
	return stream, session, err
}

// dial opens a session of its own to the address.
func (l *sessionPool) dial(ctx context.Context, address string) (*session, error) {
	return dialSession(ctx, l.dialAddress(address), l.counters)
}

// replaceUnresponsive makes a fresh session the standing one when nothing has arrived over that since the time; a standing session
// that is only busy is kept, with the transactions that it carries.
func (l *sessionPool) replaceUnresponsive(address string, session *session, since time.Time) {
	held, err := l.forAddress(address)
	if err != nil || !held.unresponsiveSince(since) {
		closeQuietly(session)
		return
	}
	l.counters.SessionsReplaced.Add(1)
	held.replace(session)
}

// close ends all sessions.
func (l *sessionPool) close() {
	close(l.stop)
	l.goroutines.Wait()
	l.mu.Lock()
	l.closed = true
	held := l.byAddress
	l.byAddress = nil
	l.mu.Unlock()
	closing := sync.WaitGroup{}
	for _, link := range held {
		closing.Go(link.close)
	}
	closing.Wait()
}

func (l *sessionPool) forAddress(address string) (*sharedSession, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, fault.New(fault.Stopping, "the links to other instances are closed")
	}
	held := l.byAddress[address]
	if held == nil {
		held = newSharedSession(l.dialAddress(address), l.counters, l.sessionMonitor)
		l.byAddress[address] = held
	}
	held.recordUse()
	return held, nil
}

func (l *sessionPool) closeIdle(since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, link := range l.byAddress {
		if link.closeIdle(since) {
			delete(l.byAddress, address)
		}
	}
}

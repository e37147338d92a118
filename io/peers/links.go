package peers

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"turmericpulley/core/fault"
)

const (
	// idleLimit is how long a session without streams stays open.
	idleLimit = time.Minute
	// sweepInterval is the time between two searches for idle sessions.
	sweepInterval = 10 * time.Second
)

// links holds the standing sessions to other instances by their address.
type links struct {
	mapped   func(address string) string
	counters *Counters
	keeper   *keeper
	stop     chan struct{}
	running  sync.WaitGroup

	mu     sync.Mutex
	held   map[string]*link
	closed bool
}

func newLinks(mapped func(string) string, counters *Counters, k *keeper) *links {
	l := &links{
		mapped: mapped, counters: counters, keeper: k, stop: make(chan struct{}), held: make(map[string]*link),
	}
	l.running.Go(func() {
		ticker := time.NewTicker(sweepInterval)
		defer ticker.Stop()
		for {
			select {
			case <-l.stop:
				return
			case <-ticker.C:
				l.sweep(time.Now().Add(-idleLimit))
			}
		}
	})
	return l
}

// open opens a stream to the instance at the address, once more on a new session when the first has just ended.
func (l *links) open(ctx context.Context, address string) (*yamux.Stream, *session, error) {
	held, err := l.link(address)
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

// fresh opens a session of its own to the address.
func (l *links) fresh(ctx context.Context, address string) (*session, error) {
	return dialSession(ctx, l.mapped(address), l.counters)
}

// renew makes a fresh session the standing one when nothing has arrived over that since the time; a standing session
// that is only busy is kept, with the transactions that it carries.
func (l *links) renew(address string, session *session, since time.Time) {
	held, err := l.link(address)
	if err != nil || !held.silentSince(since) {
		closeQuietly(session)
		return
	}
	l.counters.SessionsReplaced.Add(1)
	held.replace(session)
}

// close ends all sessions.
func (l *links) close() {
	close(l.stop)
	l.running.Wait()
	l.mu.Lock()
	l.closed = true
	held := l.held
	l.held = nil
	l.mu.Unlock()
	closing := sync.WaitGroup{}
	for _, link := range held {
		closing.Go(link.close)
	}
	closing.Wait()
}

func (l *links) link(address string) (*link, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, fault.New(fault.Stopping, "the links to other instances are closed")
	}
	held := l.held[address]
	if held == nil {
		held = newLink(l.mapped(address), l.counters, l.keeper)
		l.held[address] = held
	}
	held.touch()
	return held, nil
}

func (l *links) sweep(since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, link := range l.held {
		if link.closeIdle(since) {
			delete(l.held, address)
		}
	}
}

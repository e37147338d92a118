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
	// idleCheckInterval is the time between two checks for idle sessions.
	idleCheckInterval = 10 * time.Second
)

// sessionPool holds one shared session for each address of another instance.
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

func newSessionPool(dialAddress func(string) string, counters *Counters, monitor *sessionMonitor) *sessionPool {
	p := &sessionPool{
		dialAddress: dialAddress, counters: counters, sessionMonitor: monitor, stop: make(chan struct{}),
		byAddress: make(map[string]*sharedSession),
	}
	p.goroutines.Go(func() {
		ticker := time.NewTicker(idleCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-p.stop:
				return
			case <-ticker.C:
				p.closeIdle(time.Now().Add(-idleSessionTimeout))
			}
		}
	})
	return p
}

// openStream opens a stream to the instance at the address. When the session has just ended, it retries once on a new
// session.
func (p *sessionPool) openStream(ctx context.Context, address string) (*yamux.Stream, *session, error) {
	shared, err := p.forAddress(address)
	if err != nil {
		return nil, nil, err
	}
	session, err := shared.get(ctx)
	if err != nil {
		return nil, nil, err
	}
	stream, err := session.OpenStream()
	if err == nil {
		return stream, session, nil
	}
	closeQuietly(session)
	if session, err = shared.get(ctx); err != nil {
		return nil, nil, err
	}
	stream, err = session.OpenStream()
	return stream, session, err
}

// dial opens a new session to the address, separate from the shared one.
func (p *sessionPool) dial(ctx context.Context, address string) (*session, error) {
	return dialSession(ctx, p.dialAddress(address), p.counters)
}

// replaceUnresponsive replaces the shared session by the given one when nothing has arrived over the shared one since
// the given time, or when no shared one is open. A shared session that is only busy is kept, with the transactions that
// it carries, and the given one is closed.
func (p *sessionPool) replaceUnresponsive(address string, session *session, since time.Time) {
	shared, err := p.forAddress(address)
	if err != nil || !shared.unresponsiveSince(since) {
		closeQuietly(session)
		return
	}
	p.counters.SessionsReplaced.Add(1)
	shared.replace(session)
}

// retire keeps the session from being used for new streams. The next one opens a new session.
func (p *sessionPool) retire(address string, used *session) {
	if shared, err := p.forAddress(address); err == nil {
		shared.retire(used)
	}
}

// close drops all shared sessions and prevents new ones. It leaves the open ones to the other end to close.
func (p *sessionPool) close() {
	close(p.stop)
	p.goroutines.Wait()
	p.mu.Lock()
	p.closed = true
	shared := p.byAddress
	p.byAddress = nil
	p.mu.Unlock()
	closing := sync.WaitGroup{}
	for _, shared := range shared {
		closing.Go(shared.close)
	}
	closing.Wait()
}

func (p *sessionPool) forAddress(address string) (*sharedSession, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, fault.New(fault.Stopping, "the sessions to other instances are closed")
	}
	shared := p.byAddress[address]
	if shared == nil {
		shared = newSharedSession(p.dialAddress(address), p.counters, p.sessionMonitor)
		p.byAddress[address] = shared
	}
	shared.recordUse()
	return shared, nil
}

func (p *sessionPool) closeIdle(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, shared := range p.byAddress {
		if shared.closeIdle(since) {
			delete(p.byAddress, address)
		}
	}
}

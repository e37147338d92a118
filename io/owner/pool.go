package owner

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/admit"
	"turmericpulley/core/types"
	"turmericpulley/io/pgcli"
)

// maxConcurrentDials bounds how many connections to one target are opened at the same time.
const maxConcurrentDials = 4

// pool keeps the idle connections to one target; its limiter bounds how many are open.
type pool struct {
	limiter      *admit.ConnLimiter
	dialSettings pgcli.Settings
	counters     *Counters
	// recordQueueWait is called with the time that each request waited; it may be nil.
	recordQueueWait func(types.AccountID, time.Duration)
	dialSlots       chan struct{}
	accepted        acceptedSettings

	mu     sync.Mutex
	idle   []*pooledConn
	inUse  map[*pooledConn]types.AccountID
	closed bool
}

func newPool(capacity int, dial pgcli.Settings, counters *Counters) *pool {
	return &pool{
		limiter:      admit.NewConnLimiter(max(capacity, 1)),
		dialSettings: dial,
		counters:     counters,
		dialSlots:    make(chan struct{}, maxConcurrentDials),
		inUse:        map[*pooledConn]types.AccountID{},
	}
}

// acquire waits for the limiter's grant and returns a connection; when it fails, nothing has been sent.
func (p *pool) acquire(ctx context.Context, customer types.AccountID, limits admit.Limits) (*pooledConn, error) {
	startedAt := time.Now()
	err := p.limiter.Acquire(ctx, customer, limits)
	if p.recordQueueWait != nil {
		p.recordQueueWait(customer, time.Since(startedAt))
	}
	if err != nil {
		return nil, err
	}
	c, err := p.idleOrNewConn(ctx)
	if err != nil {
		p.limiter.Release(customer)
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		p.limiter.Release(customer)
		return nil, errors.New("the pool is closed")
	}
	p.inUse[c] = customer
	return c, nil
}

// release returns a connection to the pool, or closes it when it is not clean or can't be reused.
func (p *pool) release(c *pooledConn, clean bool) {
	p.mu.Lock()
	customer := p.inUse[c]
	delete(p.inUse, c)
	keep := clean && !c.cancelSent && !p.closed && !c.HasUnreadBytes()
	if keep {
		c.idleSince = time.Now()
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		p.counters.BrokenConns.Add(1)
		_ = c.Close()
	}
	p.limiter.Release(customer)
}

// closeIdle closes all idle connections, for example after the target's role has changed.
func (p *pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// abortAll closes the idle connections and aborts those in use, so that their transactions fail at once.
func (p *pool) abortAll() {
	p.closeIdle()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.inUse {
		c.Abort()
	}
}

// close closes all connections and refuses the requests that wait for one.
func (p *pool) close() {
	p.limiter.Close()
	p.mu.Lock()
	p.closed = true
	inUse := p.inUse
	p.inUse = map[*pooledConn]types.AccountID{}
	p.mu.Unlock()
	p.closeIdle()
	for c := range inUse {
		_ = c.Close()
	}
}

func (p *pool) idleOrNewConn(ctx context.Context) (*pooledConn, error) {
	for {
		c := p.popIdle()
		if c == nil {
			return p.connect(ctx)
		}
		if c.Reusable() {
			return c, nil
		}
		p.counters.BrokenConns.Add(1)
		_ = c.Close()
	}
}

func (p *pool) popIdle() *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *pool) connect(ctx context.Context) (*pooledConn, error) {
	select {
	case p.dialSlots <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "waiting to connect to a target")
	}
	defer func() { <-p.dialSlots }()
	conn, err := pgcli.Dial(ctx, p.dialSettings)
	if err != nil {
		return nil, errors.Wrap(err, "opening a pooled connection")
	}
	p.counters.Dials.Add(1)
	return &pooledConn{Conn: conn}, nil
}

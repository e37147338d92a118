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

// maxDialsAtOnce spreads the cost of connecting to one target.
const maxDialsAtOnce = 4

// pool keeps the idle connections to one target; its gate bounds how many are open.
type pool struct {
	gate     *admit.ConnLimiter
	dial     pgcli.Settings
	counters *Counters
	// queued is told how long each request waited; nil tells nobody.
	queued   func(types.CustomerID, time.Duration)
	dialling chan struct{}

	mu     sync.Mutex
	idle   []*pooled
	open   map[*pooled]types.CustomerID
	closed bool
}

func newPool(capacity int, dial pgcli.Settings, counters *Counters) *pool {
	return &pool{
		gate:     admit.NewConnLimiter(max(capacity, 1)),
		dial:     dial,
		counters: counters,
		dialling: make(chan struct{}, maxDialsAtOnce),
		open:     map[*pooled]types.CustomerID{},
	}
}

// take waits for a grant and returns a connection; nothing has been sent when it fails.
func (p *pool) take(ctx context.Context, customer types.CustomerID, limits admit.Limits) (*pooled, error) {
	began := time.Now()
	err := p.gate.Acquire(ctx, customer, limits)
	if p.queued != nil {
		p.queued(customer, time.Since(began))
	}
	if err != nil {
		return nil, err
	}
	c, err := p.connection(ctx)
	if err != nil {
		p.gate.Release(customer)
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		p.gate.Release(customer)
		return nil, errors.New("the pool is closed")
	}
	p.open[c] = customer
	return c, nil
}

// put returns a connection; it is thrown away unless clean.
func (p *pool) put(c *pooled, clean bool) {
	p.mu.Lock()
	customer := p.open[c]
	delete(p.open, c)
	keep := clean && !c.poisoned && !p.closed && !c.Pending()
	if keep {
		c.idleSince = time.Now()
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		p.counters.Condemned.Add(1)
		_ = c.Close()
	}
	p.gate.Release(customer)
}

// dropIdle closes all idle connections, as after the target changed its role.
func (p *pool) dropIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// abort ends all connections, those in use included; their transactions learn that no answer will come.
func (p *pool) abort() {
	p.dropIdle()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.Abort()
	}
}

// close ends all connections and refuses what waits.
func (p *pool) close() {
	p.gate.Close()
	p.mu.Lock()
	p.closed = true
	open := p.open
	p.open = map[*pooled]types.CustomerID{}
	p.mu.Unlock()
	p.dropIdle()
	for c := range open {
		_ = c.Close()
	}
}

func (p *pool) connection(ctx context.Context) (*pooled, error) {
	for {
		c := p.popIdle()
		if c == nil {
			return p.connect(ctx)
		}
		if c.Quiet() {
			return c, nil
		}
		p.counters.Condemned.Add(1)
		_ = c.Close()
	}
}

func (p *pool) popIdle() *pooled {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *pool) connect(ctx context.Context) (*pooled, error) {
	select {
	case p.dialling <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "waiting to connect to a target")
	}
	defer func() { <-p.dialling }()
	conn, err := pgcli.Dial(ctx, p.dial)
	if err != nil {
		return nil, errors.Wrap(err, "opening a pooled connection")
	}
	p.counters.Dials.Add(1)
	return &pooled{Conn: conn}, nil
}

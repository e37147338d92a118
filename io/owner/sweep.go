package owner

import (
	"context"
	"time"
)

const (
	sweepPeriod = 50 * time.Millisecond
	// dirtyLimit is how long an idle connection may keep what its last session left, such as locks.
	dirtyLimit = 50 * time.Millisecond
)

// sweep resets idle connections until the context ends, so that nothing that a session left stays for long.
func (o *Owner) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, m := range o.members {
				m.pool.resetIdle(now)
			}
		}
	}
}

// resetIdle resets the connections that were returned longer ago than the limit and are still dirty.
func (p *pool) resetIdle(now time.Time) {
	for p.hasDirty(now) && p.gate.TryAcquire() {
		if c := p.popDirty(now); c != nil {
			p.reset(c)
		}
		p.gate.Release("")
	}
}

func (p *pool) reset(c *pooled) {
	_, err := c.Query(resetStatement, controlTimeout)
	c.used = false
	p.mu.Lock()
	keep := err == nil && !p.closed
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		p.counters.Condemned.Add(1)
		_ = c.Close()
	}
}

func (p *pool) hasDirty(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dirtyIndex(now) >= 0
}

func (p *pool) popDirty(now time.Time) *pooled {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := p.dirtyIndex(now)
	if i < 0 {
		return nil
	}
	c := p.idle[i]
	p.idle = append(p.idle[:i], p.idle[i+1:]...)
	return c
}

func (p *pool) dirtyIndex(now time.Time) int {
	for i, c := range p.idle {
		if c.used && now.Sub(c.idleSince) > dirtyLimit {
			return i
		}
	}
	return -1
}

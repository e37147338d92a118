package owner

import (
	"context"
	"time"
)

const (
	resetInterval = 50 * time.Millisecond
	// maxDirtyTime is how long an idle connection may keep the state of its last session, such as locks.
	maxDirtyTime = 50 * time.Millisecond
)

// resetDirtyConns periodically resets idle connections that still have a session's state, until the context ends.
func (o *Owner) resetDirtyConns(ctx context.Context) {
	ticker := time.NewTicker(resetInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, m := range o.members {
				m.pool.resetDirty(now)
			}
		}
	}
}

// resetDirty resets the dirty connections that have been idle for longer than maxDirtyTime.
func (p *pool) resetDirty(now time.Time) {
	for p.hasDirty(now) && p.limiter.TryAcquire() {
		if c := p.popDirty(now); c != nil {
			p.reset(c)
		}
		p.limiter.Release("")
	}
}

func (p *pool) reset(c *pooledConn) {
	_, err := c.QueryRow(resetStatement, controlTimeout)
	c.dirty = false
	p.mu.Lock()
	keep := err == nil && !p.closed
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		p.counters.BrokenConns.Add(1)
		_ = c.Close()
	}
}

func (p *pool) hasDirty(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dirtyIndex(now) >= 0
}

func (p *pool) popDirty(now time.Time) *pooledConn {
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
		if c.dirty && now.Sub(c.idleSince) > maxDirtyTime {
			return i
		}
	}
	return -1
}

package group

import (
	"iter"
	"maps"
	"slices"

	"turmericpulley/core/clock"
	"turmericpulley/core/keep"
	"turmericpulley/core/place"
	"turmericpulley/core/types"
)

// successorPart bounds the connections that are left free for the next owner, when connections belong to accounts, to one in eight. A
// member keeps those of an owner that went dark for up to 3 s; with one for each slot the next owner can use all slots meanwhile.
const successorPart = 8

// accountConns are the connections of one account to a member. The caller of its methods, and of those of pool in this file that say so,
// holds the pool's lock.
type accountConns struct {
	// idle are in the order in which they were returned.
	idle []*pooledConn
	// inUse counts the connections in use, resting those of them that open transactions hold.
	inUse, resting int
}

// settled returns an idle connection that has settled, preferably the newest one with the values; nil when there is none.
func (a *accountConns) settled(values map[string]string, now clock.Moment) *pooledConn {
	var best *pooledConn
	for _, c := range slices.Backward(a.idle) {
		if c.conn.answers.SettledAt() > now {
			continue
		}
		if maps.Equal(c.values, values) {
			return c
		}
		if best == nil {
			best = c
		}
	}
	return best
}

// takeIdle returns an idle connection of the account that has settled, preferably one with the values; nil when there is none.
func (p *pool) takeIdle(account types.AccountID, values map[string]string) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.accounts[account]
	if a == nil {
		return nil
	}
	c := a.settled(values, p.settings.Clock.Now())
	if c != nil {
		p.removeIdle(c)
		p.use(c)
	}
	return c
}

// takeAnyIdle returns the idle connection that was returned last and has settled, preferably one without values; nil when there is none. A
// query of the member's status belongs to no account.
func (p *pool) takeAnyIdle() *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Clock.Now()
	var best *pooledConn
	for _, a := range p.accounts {
		c := a.settled(nil, now)
		if c == nil {
			continue
		}
		if best == nil || len(c.values) == 0 && len(best.values) > 0 ||
			(len(c.values) == 0) == (len(best.values) == 0) && c.returned > best.returned {
			best = c
		}
	}
	if best != nil {
		p.removeIdle(best)
		p.use(best)
	}
	return best
}

// makeRoom closes an idle connection of the account whose connection is worth least when a new one would exceed the limit or what the
// member takes. False means that no connection may be opened at the moment.
func (p *pool) makeRoom(account types.AccountID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, open := p.settings.Clock.Now(), p.openCount()
	allowed := p.room.Allows(open, now)
	if allowed && open < p.keptLimit() {
		return true
	}
	if p.idleCount == 0 || !allowed && !p.room.MayExchange(now) {
		return allowed
	}
	c := p.removeLeast()
	c.conn.Close()
	p.tally.displaced++
	if c.account != account {
		p.settings.Counters.DisplacedConnections.Add(1)
		p.settings.RequestLogger.Debug("idle connection closed for one of another account", "member", p.member.Target, "closed", c.account,
			"for", account, "open", open, "idle", p.idleCount, "member takes more", allowed)
	}
	return true
}

// Available says, for the scheduler, whether a statement of the account finds a connection.
func (p *pool) Available(account types.AccountID) place.Availability {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, open := p.settings.Clock.Now(), p.openCount()
	a := p.accounts[account]
	if a != nil && len(a.idle) > 0 && a.settled(nil, now) != nil {
		return place.ConnectionFree
	}
	fits := p.room.Fits(open, now)
	opens := place.ConnectionOpens
	if account == "" {
		// Without accounts all connections serve all statements, and an opening is no reason to prefer another member.
		opens = place.ConnectionFree
	}
	if fits && open < p.keptLimit() {
		return opens
	}
	if !fits && (p.idleCount == 0 || !p.room.MayExchange(now)) {
		return place.ConnectionNone
	}
	if a != nil && account != "" &&
		p.uses.PaysToWait(account, a.holding(), a.inUse-a.resting, p.holdings(), now) {
		return place.ConnectionNone
	}
	return opens
}

func (a *accountConns) holding() keep.Holding { return keep.Holding{Idle: len(a.idle), InUse: a.inUse} }

func (p *pool) holdings() iter.Seq2[types.AccountID, keep.Holding] {
	return func(yield func(types.AccountID, keep.Holding) bool) {
		for account, a := range p.accounts {
			if !yield(account, a.holding()) {
				return
			}
		}
	}
}

// openCount returns the number of connections that are open or being opened.
func (p *pool) openCount() int { return p.idleCount + len(p.inUse) + p.opening }

// keptLimit returns how many connections are kept. Connections that belong to accounts are not closed while they rest, so that without a
// reserve the next owner would find the member full.
func (p *pool) keptLimit() int {
	if len(p.accounts) == 0 || len(p.accounts) == 1 && p.accounts[""] != nil {
		return p.limit
	}
	return p.limit - p.successorReserve()
}

// successorReserve returns how many connections are left free for the next owner.
func (p *pool) successorReserve() int { return min(p.member.Slots, p.limit/successorPart) }

// recordRoom records the end of an opening, with the error.
func (p *pool) recordRoom(err error) {
	open := p.idleCount + len(p.inUse)
	now := p.settings.Clock.Now()
	switch {
	case err == nil:
		p.room.Opened(open+1, p.limit)
	case isFull(err):
		p.settings.Counters.ConnectionsRefused.Add(1)
		p.tally.refused++
		p.room.Refused(open, now)
	}
	if bounded := p.room.IsBounded(now); bounded != p.full {
		p.full = bounded
		p.settings.Logger.Info("room for connections at member changed", "database", p.settings.Database, "member", p.member.Target,
			"full", bounded, "takes", p.room.Taken(), "open", open)
	}
}

// use marks a connection as taken.
func (p *pool) use(c *pooledConn) {
	c.takenAt = p.settings.Clock.Now()
	p.inUse[c] = true
	p.conns(c.account).inUse++
}

// endUse ends what use began.
func (p *pool) endUse(c *pooledConn) {
	delete(p.inUse, c)
	a := p.accounts[c.account]
	a.inUse--
	if c.resting {
		a.resting--
	} else {
		p.uses.Return(c.account, p.settings.Clock.Since(c.takenAt))
	}
	c.resting = false
	p.dropEmpty(c.account)
}

// setResting marks a connection in use as held by an open transaction.
func (p *pool) setResting(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse[c] && !c.resting {
		c.resting = true
		p.accounts[c.account].resting++
	}
}

// rest adds a connection to the idle ones.
func (p *pool) rest(c *pooledConn) {
	p.returns++
	c.returned = p.returns
	c.answeredAt = p.settings.Clock.Now()
	a := p.conns(c.account)
	a.idle = append(a.idle, c)
	p.idleCount++
}

// removeLeast removes an idle connection of the account whose connection is worth least, the one that settles first.
func (p *pool) removeLeast() *pooledConn {
	account, _, _ := p.uses.Least(p.holdings(), p.settings.Clock.Now())
	c := slices.MinFunc(p.accounts[account].idle, func(a, b *pooledConn) int {
		return int(a.conn.answers.SettledAt().Sub(b.conn.answers.SettledAt()))
	})
	p.removeIdle(c)
	return c
}

func (p *pool) removeIdle(c *pooledConn) {
	a := p.accounts[c.account]
	i := slices.Index(a.idle, c)
	a.idle = slices.Delete(a.idle, i, i+1)
	p.idleCount--
	p.dropEmpty(c.account)
}

func (p *pool) removeAllIdle() []*pooledConn {
	idle := make([]*pooledConn, 0, p.idleCount)
	for account, a := range p.accounts {
		idle = append(idle, a.idle...)
		a.idle = nil
		p.dropEmpty(account)
	}
	p.idleCount = 0
	return idle
}

// hasAnsweredSince reports whether an idle connection of an account that was opened before the moment has answered after it.
func (p *pool) hasAnsweredSince(moment clock.Moment) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for account, a := range p.accounts {
		if account == "" {
			continue
		}
		for _, c := range a.idle {
			if c.openedAt < moment && c.answeredAt > moment {
				return true
			}
		}
	}
	return false
}

func (p *pool) conns(account types.AccountID) *accountConns {
	a := p.accounts[account]
	if a == nil {
		a = &accountConns{}
		p.accounts[account] = a
	}
	return a
}

// dropEmpty forgets an account without connections.
func (p *pool) dropEmpty(account types.AccountID) {
	if a := p.accounts[account]; a != nil && len(a.idle) == 0 && a.inUse == 0 {
		delete(p.accounts, account)
	}
}

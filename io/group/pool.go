package group

import (
	"context"
	"sync"

	"turmericpulley/core/clock"
	"turmericpulley/core/keep"
	"turmericpulley/core/routes"
	"turmericpulley/core/types"
)

// pool holds the connections to one member. It never waits for a free connection: the scheduler (package place) bounds those in
// use. A session calls get only after the scheduler has granted it a slot of the member. The scheduler asks the pool which connections an
// account has while it holds its own lock, so that the pool never calls the scheduler.
type pool struct {
	settings Settings
	// limit is how many connections are kept at most; probes over new connections exceed it for a short time.
	limit int

	mu     sync.Mutex
	member routes.Member
	// accounts are the connections by the account to which they belong, idleCount is the number of idle ones.
	accounts  map[types.AccountID]*accountConns
	idleCount int
	inUse     map[*pooledConn]bool
	closed    bool
	// retired is set while the member is not listed: connections in use may be kept, but are closed when they are returned.
	retired bool
	// opened is the number of connections that were opened, opening of those that are being opened.
	opened  uint64
	opening int
	// returns is the number of connections that were returned to the idle ones.
	returns uint64
	// uses and room decide which connections are kept, and how many the member takes.
	uses  *keep.Uses
	tally connectionTally
	room  keep.Room
	// full is set while the member is known to take fewer connections than are wanted, for log lines.
	full bool
	// warming is set while connections are opened ahead, which is not tried again before warmAfter.
	warming   bool
	warmAfter clock.Moment
	// dials ends when the connections that are being opened are given up.
	dials      context.Context
	abandonAll context.CancelFunc
}

func newPool(s Settings, m routes.Member, limit int) *pool {
	s.RequestLogger = s.RequestLogger.With("database", s.Database)
	p := &pool{
		settings: s, limit: limit, member: m, inUse: map[*pooledConn]bool{}, accounts: map[types.AccountID]*accountConns{},
		uses: keep.NewUses(s.Clock.Now()),
	}
	p.dials, p.abandonAll = context.WithCancel(context.Background())
	return p
}

// get returns an idle connection of the account, preferably one with the session's values, or a new one. The error is errNoRoom or a
// refusal of the member when no further connection can be opened at the moment.
func (p *pool) get(ctx context.Context, account types.AccountID, values map[string]string) (*pooledConn, error) {
	p.mu.Lock()
	p.uses.Take(account, p.settings.Clock.Now())
	p.tally.uses++
	p.mu.Unlock()
	p.settings.Counters.ConnectionUses.Add(1)
	for {
		c := p.takeIdle(account, values)
		if c == nil {
			p.tallyOpening(account)
			p.settings.Counters.ConnectionWaits.Add(1)
			if !p.makeRoom(account) {
				return nil, errNoRoom
			}
			return p.dial(ctx, account)
		}
		if c.conn.Reusable() {
			return c, nil
		}
		p.settings.Counters.UnusableIdleConnections.Add(1)
		p.settings.RequestLogger.Debug("idle connection has ended or has unexpected data", "member", c.conn.member.Target,
			"connection", c.conn.number, "answers", c.conn.answers.Answers(), "unread", c.conn.Unread())
		p.discard(c)
	}
}

func (p *pool) dial(ctx context.Context, account types.AccountID) (*pooledConn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.mu.Lock()
	dials := p.dials
	p.opening++
	p.mu.Unlock()
	defer context.AfterFunc(dials, cancel)()
	conn, err := p.settings.Dialer.Dial(ctx, p.currentMember(), account)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	p.recordRoom(err)
	if err != nil {
		return nil, err
	}
	p.opened++
	c := newPooledConn(newCheckedConn(conn, p.member, p.opened, p.settings), account)
	if p.closed || dials.Err() != nil {
		conn.Close()
		return nil, errPoolClosed
	}
	c.openedAt = p.settings.Clock.Now()
	p.use(c)
	return c, nil
}

// put takes a connection back after use. It closes a broken one, and the least used idle ones beyond the limit.
func (p *pool) put(c *pooledConn) {
	p.mu.Lock()
	keeps := !c.broken && !c.conn.distrusted && !p.closed && !p.retired && p.inUse[c]
	if p.inUse[c] {
		p.endUse(c)
	}
	if keeps {
		p.rest(c)
	}
	var surplus []*pooledConn
	for p.idleCount > 0 && p.idleCount+len(p.inUse) > p.keptLimit() {
		surplus = append(surplus, p.removeLeast())
		p.tally.surplus++
	}
	if !keeps {
		p.tally.discarded++
	}
	p.mu.Unlock()
	if !keeps {
		c.conn.Close()
	}
	for _, old := range surplus {
		old.conn.Close()
	}
}

// discard closes a connection that must not be used again.
func (p *pool) discard(c *pooledConn) {
	c.broken = true
	p.put(c)
}

// closeIdle closes the idle connections. When another connection has stopped responding, the idle ones probably do not
// respond either, because they are as old.
func (p *pool) closeIdle() {
	p.mu.Lock()
	idle := p.removeAllIdle()
	p.tally.dropped += len(idle)
	p.mu.Unlock()
	for _, c := range idle {
		c.conn.Close()
	}
}

// closeUnproved closes the idle connections after a statement that was sent at the moment got no answer. Where connections belong to accounts it
// closes none if another one that was open then has answered since: the member is slow, and to open all anew would take its slots.
func (p *pool) closeUnproved(sentAt clock.Moment) {
	if !p.hasAnsweredSince(sentAt) {
		p.closeIdle()
	}
}

// drain closes the idle connections now, and those in use when they are returned.
func (p *pool) drain() {
	p.mu.Lock()
	p.limit = 0
	p.mu.Unlock()
	p.closeIdle()
}

// retire closes the idle connections, and those in use when they are returned, until updateMember lists the member again.
func (p *pool) retire() {
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
	p.closeIdle()
}

// closeUnused closes the pool if no connection is in use, and reports whether it did.
func (p *pool) closeUnused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = p.closed || len(p.inUse) == 0
	return p.closed
}

func (p *pool) isInUse() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.inUse) > 0
}

// closeAll closes all connections, those that are being opened included. Statements on those in use end without a reply.
func (p *pool) closeAll() {
	p.abandonDials()
	p.closeIdle()
	p.mu.Lock()
	inUse := make([]*pooledConn, 0, len(p.inUse))
	for c := range p.inUse {
		inUse = append(inUse, c)
		p.endUse(c)
	}
	p.mu.Unlock()
	for _, c := range inUse {
		c.conn.Close()
	}
}

// abandonDials gives up all connections that are being opened. No statement has been sent over them.
func (p *pool) abandonDials() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abandonAll()
	p.dials, p.abandonAll = context.WithCancel(context.Background())
}

// close closes all connections and makes dial refuse new ones.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.abandonAll()
	p.mu.Unlock()
	p.closeAll()
}

func (p *pool) currentMember() routes.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.member
}

// updateMember stores the newest entry of the listed member. It closes all connections when the address changed or the member
// restarted.
func (p *pool) updateMember(m routes.Member) {
	p.mu.Lock()
	p.retired = false
	replaced := p.member.Address != m.Address || p.member.StartedUnixMs != m.StartedUnixMs
	p.member = m
	if replaced {
		p.room = keep.Room{}
	}
	p.mu.Unlock()
	if replaced {
		p.closeAll()
	}
}

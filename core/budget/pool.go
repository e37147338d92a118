package budget

import (
	"container/list"
	"sync"
	"time"

	"turmericpulley/core/types"
)

const (
	// stallAfter is how long a message or an answer may make no progress before its connection is turned away for another's need.
	stallAfter = time.Second
	// idleAfter is how long a session must have been at rest before it is closed for a new one.
	idleAfter = time.Second
	// TransferTimeout bounds the time in which a large message arrives whole or a large answer is taken. It is long enough for the largest
	// message at 300 kbit/s.
	TransferTimeout = 30 * time.Second
	// heavier is how many times more than the one in need another must hold to be turned away for it.
	heavier = 2
	// accountShare is the share of all bytes that one client account, or one connection, holds at most. On the smallest machines it has
	// room for the largest answer.
	accountShare = 0.75
)

// Reason says why a connection was turned away or a use was refused.
type Reason int

// Reasons; the last one is no reason but their number.
const (
	// Unopened means that too many connections had opened no session; the oldest of them was closed.
	Unopened Reason = iota
	// Idle means that a session at rest was closed for a new one.
	Idle
	// NoSession means that a session was refused, because all others were at work.
	NoSession
	// Stalled means that a connection made no progress while another needed room.
	Stalled
	// Heavy means that a connection held most while another needed room.
	Heavy
	// Slow means that a message or an answer took longer than TransferTimeout.
	Slow
	// NoRoom means that a message, an answer or the state of a session was refused for lack of bytes.
	NoRoom
	reasons
)

// names are the words for reasons in logs and counters.
var names = [reasons]string{"unopened", "idle", "no_session", "stalled", "heavy", "slow", "no_room"}

// String returns the word for the reason.
func (r Reason) String() string { return names[r] }

// Reasons returns all reasons.
func Reasons() []Reason {
	all := make([]Reason, 0, reasons)
	for r := range reasons {
		all = append(all, r)
	}
	return all
}

// Pool is what an instance takes in for its callers; it is safe for concurrent use.
type Pool struct {
	limits Limits
	// began is when the pool was made; times are counted from it, because the time of day may jump.
	began time.Time

	mu sync.Mutex
	// held is what all connections hold; leaving is the part of it that connections hold that were turned away and have not closed yet.
	held, leaving Bytes
	// opening are the connections without a session, oldest first. holders are all connections.
	opening  *list.List
	holders  map[*Holder]bool
	sessions int
	accounts map[types.AccountID]usage
	counts   [reasons]int64
	// freed is closed, and replaced, when a connection that was turned away has closed.
	freed chan struct{}
}

// usage is what a client account holds.
type usage struct {
	bytes    Bytes
	sessions int
}

// Usage is what a pool holds, for logs and metrics.
type Usage struct {
	Held     Bytes
	Sessions int
	Opening  int
	Turned   [reasons]int64
}

// New returns a pool without connections.
func New(limits Limits) *Pool {
	return &Pool{
		limits: limits, began: time.Now(), opening: list.New(), holders: map[*Holder]bool{}, accounts: map[types.AccountID]usage{},
		freed: make(chan struct{}),
	}
}

// now returns the nanoseconds since the pool began.
func (p *Pool) now() int64 { return int64(time.Since(p.began)) }

// Limits returns the limits of the pool.
func (p *Pool) Limits() Limits { return p.limits }

// Usage returns what the pool holds and how often it turned a connection away or refused a use, by reason.
func (p *Pool) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Usage{Held: p.held, Sessions: p.sessions, Opening: p.opening.Len(), Turned: p.counts}
}

// Open adds a connection that has no session yet. turnAway is called at most once, without waiting, when the connection must be closed;
// it must not call the pool. When too many connections open, the oldest of them is turned away.
func (p *Pool) Open(turnAway func()) *Holder {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := &Holder{pool: p, turnAway: turnAway}
	h.rest()
	if p.opening.Len() >= p.limits.Opening {
		if oldest := p.opening.Front(); oldest != nil {
			p.turn(oldest.Value.(*Holder), Unopened)
		}
	}
	h.place = p.opening.PushBack(h)
	p.holders[h] = true
	return h
}

// Join returns a holder of bytes for the account that is no connection, such as an answer that is held for a caller of another instance.
// It is never turned away.
func (p *Pool) Join(account types.AccountID) *Holder {
	h := &Holder{pool: p, joined: true, account: account}
	h.Work()
	return h
}

// setUsage records what an account holds, and forgets an account that holds nothing; the lock is held.
func (p *Pool) setUsage(account types.AccountID, u usage) {
	if u == (usage{}) {
		delete(p.accounts, account)
		return
	}
	p.accounts[account] = u
}

// TurnSlowAway turns away the connections whose message or answer has taken longer than TransferTimeout. The front calls it every second.
func (p *Pool) TurnSlowAway() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for h := range p.holders {
		if h.transferring() && h.sinceBegin() > TransferTimeout {
			p.turn(h, Slow)
		}
	}
}

// turn turns a connection away, once; the lock is held.
func (p *Pool) turn(h *Holder, reason Reason) {
	if h.turned {
		return
	}
	h.turned = true
	p.counts[reason]++
	p.leaving += h.total()
	h.leaveOpening()
	h.turnAway()
}

// makeSession makes room for one session by closing one at rest, of the account with most sessions the one that has rested longest. It
// reports whether there is room; the lock is held.
func (p *Pool) makeSession() bool {
	if p.sessions < p.limits.Sessions {
		return true
	}
	var victim *Holder
	for h := range p.holders {
		if !h.turned && h.session && h.phase() == resting && h.sinceChange() >= idleAfter && (victim == nil || p.restsMore(h, victim)) {
			victim = h
		}
	}
	if victim == nil {
		p.counts[NoSession]++
		return false
	}
	p.turn(victim, Idle)
	victim.leaveSessions()
	return true
}

func (p *Pool) restsMore(a, b *Holder) bool {
	if x, y := p.accounts[a.account].sessions, p.accounts[b.account].sessions; x != y {
		return x > y
	}
	return a.changed.Load() < b.changed.Load()
}

// makeRoom turns a connection away so that h can hold more bytes, if there is one that goes before h: of those that stall the heaviest,
// else the heaviest of all if it is much heavier than h would be. It reports whether there will be room.
func (p *Pool) makeRoom(h *Holder, more Bytes) bool {
	for p.held-p.leaving+more > p.limits.Bytes {
		var victim *Holder
		for other := range p.holders {
			if other != h && !other.turned && other.total() > 0 && other.phase() != working && (victim == nil || p.goesBefore(other, victim)) {
				victim = other
			}
		}
		switch {
		case victim != nil && victim.stalled():
			p.turn(victim, Stalled)
		case victim != nil && p.weight(victim) > heavier*(p.weight(h)+more):
			p.turn(victim, Heavy)
		default:
			return false
		}
	}
	return true
}

func (p *Pool) goesBefore(a, b *Holder) bool {
	if x, y := a.stalled(), b.stalled(); x != y {
		return x
	}
	if x, y := p.weight(a), p.weight(b); x != y {
		return x > y
	}
	return a.total() > b.total()
}

// weight is what the connection's account holds, or the connection itself when it belongs to none.
func (p *Pool) weight(h *Holder) Bytes {
	if h.account == "" {
		return h.total()
	}
	return p.accounts[h.account].bytes
}

// freedSignal returns a channel that is closed when a connection that was turned away has closed.
func (p *Pool) freedSignal() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.freed
}

package budget

import (
	"container/list"
	"sync/atomic"
	"time"

	"turmericpulley/core/types"
)

// Use is what a connection holds bytes for.
type Use int

// The uses of a connection; the last one is no use but their number.
const (
	// Message is a message that arrives or is served, with its copies on the way to a member.
	Message Use = iota
	// Answer is an answer that is sent.
	Answer
	// State is what the session holds from message to message.
	State
	uses
)

// Grant is the answer to a wish for bytes.
type Grant int

const (
	// Granted means that the bytes are held.
	Granted Grant = iota
	// Later means that a connection was turned away, so that the same wish will be granted when it has closed.
	Later
	// Refused means that nothing changed.
	Refused
)

// phase is what the connection is doing.
type phase int32

const (
	// resting means that no request is outstanding, pausing that none is inside a transaction, receiving that a large message arrives, sending that a large answer is taken, and
	// working that a request runs.
	resting phase = iota
	pausing
	receiving
	sending
	working
)

// Holder is one connection. Rest, Work, Receive, Send and Hold are called by the connection's own goroutine.
type Holder struct {
	pool     *Pool
	turnAway func()

	// changed is when the phase began or last made progress, began when the present transfer began, both in nanoseconds since the pool began.
	changed, began atomic.Int64
	current        atomic.Int32

	// The rest is guarded by the pool's lock; held is written by the connection's goroutine only, which reads it without the lock.
	account types.AccountID
	held    [uses]Bytes
	// place is the element of the list of opening connections; nil later.
	place           *list.Element
	session, turned bool
	// joined is set when the holder is no connection.
	joined bool
	closed bool
}

// Start records that the connection opens a session for the account, which is empty where there are none. It reports whether there is
// room for one.
func (h *Holder) Start(account types.AccountID) bool {
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if h.turned || !p.makeSession() {
		return false
	}
	h.leaveOpening()
	h.session, h.account = true, account
	p.sessions++
	u := p.accounts[account]
	u.sessions++
	u.bytes += h.total()
	p.accounts[account] = u
	h.rest()
	return true
}

// Rest records that the connection has no request outstanding.
func (h *Holder) Rest() { h.rest() }

// Pause records that the connection has no request outstanding inside a transaction, so that it is not closed for a new session.
func (h *Holder) Pause() { h.enter(pausing) }

// Work records that a request of the connection runs.
func (h *Holder) Work() { h.enter(working) }

// Progress records that bytes of a large message arrived, or that bytes of an answer were taken.
func (h *Holder) Progress(use Use) {
	next := receiving
	if use == Answer {
		next = sending
	}
	now := h.pool.now()
	if phase(h.current.Load()) != next {
		h.began.Store(now)
		h.current.Store(int32(next))
	}
	h.changed.Store(now)
}

// Hold changes what the connection holds for the use, to the given amount in all. Up to FreeBytes are not counted and always granted.
func (h *Holder) Hold(use Use, amount Bytes) Grant {
	if amount <= FreeBytes {
		amount = 0
	}
	if amount == h.held[use] {
		return Granted
	}
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	more := amount - h.held[use]
	if more > 0 {
		if most := p.limits.MaxConnectionBytes(); h.turned || h.total()+more > most || p.weight(h)+more > most {
			p.counts[NoRoom]++
			return Refused
		}
		if p.held+more > p.limits.Bytes {
			if p.makeRoom(h, more) {
				return Later
			}
			p.counts[NoRoom]++
			return Refused
		}
	}
	h.change(use, amount)
	return Granted
}

// laterWait bounds the wait for a connection that was turned away to close, which takes about as long as its goroutine needs to notice.
const laterWait = 300 * time.Millisecond

// Take is Hold, but waits for the room that Later promises. It reports whether the bytes are held.
func (h *Holder) Take(use Use, amount Bytes) bool {
	if amount <= FreeBytes && h.held[use] == 0 {
		return true
	}
	var timeout <-chan time.Time
	for {
		freed := h.pool.freedSignal()
		grant := h.Hold(use, amount)
		if grant != Later {
			return grant == Granted
		}
		if timeout == nil {
			timeout = time.After(laterWait)
		}
		select {
		case <-freed:
		case <-timeout:
			return false
		}
	}
}

// Close gives back what the connection holds.
func (h *Holder) Close() {
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	for use := range uses {
		h.change(use, 0)
	}
	h.leaveOpening()
	h.leaveSessions()
	if h.turned {
		close(p.freed)
		p.freed = make(chan struct{})
	}
	h.turned = true
	delete(p.holders, h)
}

// change sets what is held for the use; the lock is held.
func (h *Holder) change(use Use, amount Bytes) {
	p := h.pool
	more := amount - h.held[use]
	h.held[use] = amount
	p.held += more
	if h.turned {
		p.leaving += more
	}
	if h.session || h.joined {
		u := p.accounts[h.account]
		u.bytes += more
		p.setUsage(h.account, u)
	}
}

func (h *Holder) leaveOpening() {
	if h.place != nil {
		h.pool.opening.Remove(h.place)
		h.place = nil
	}
}

// leaveSessions takes the connection out of the count of sessions; what it holds counts until it closes.
func (h *Holder) leaveSessions() {
	if !h.session {
		return
	}
	h.session = false
	p := h.pool
	p.sessions--
	u := p.accounts[h.account]
	u.sessions--
	u.bytes -= h.total()
	p.setUsage(h.account, u)
}

func (h *Holder) total() Bytes {
	sum := Bytes(0)
	for _, b := range h.held {
		sum += b
	}
	return sum
}

func (h *Holder) rest() { h.enter(resting) }

func (h *Holder) enter(p phase) {
	h.current.Store(int32(p))
	h.changed.Store(h.pool.now())
}

func (h *Holder) phase() phase { return phase(h.current.Load()) }

func (h *Holder) transferring() bool { return h.phase() == receiving || h.phase() == sending }

// stalled reports whether the connection transfers something and has made no progress for stallAfter.
func (h *Holder) stalled() bool { return h.transferring() && h.sinceChange() >= stallAfter }

func (h *Holder) sinceChange() time.Duration {
	return time.Duration(h.pool.now() - h.changed.Load())
}

func (h *Holder) sinceBegin() time.Duration {
	return time.Duration(h.pool.now() - h.began.Load())
}

// Attach adds a connection that counts only for the bytes that it holds, such as a caller's session at another instance. turnAway is that
// of Open.
func (p *Pool) Attach(turnAway func()) *Holder {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := &Holder{pool: p, turnAway: turnAway}
	h.rest()
	p.holders[h] = true
	return h
}

// Held returns what the connection holds for the use.
func (h *Holder) Held(use Use) Bytes { return h.held[use] }

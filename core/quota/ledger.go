package quota

import (
	"sync"
	"time"

	"turmericpulley/core/acct"
	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

const (
	// askAhead is for how long an owner borrows for an account's demand.
	askAhead = 3 * AskInterval
	// idleAfter is how long an account may send nothing before its borrowed tokens are given back.
	idleAfter = time.Second
	// minDenial is the shortest time for which an account that was denied a token is refused without asking again.
	minDenial = 50 * time.Millisecond
	// maxOwnDenial bounds the time for which an owner refuses an account without a lender's word, because one may answer soon.
	maxOwnDenial = 2 * AskInterval
)

// movedPeriod is how long an owner says that another lender has lent to it. It covers the period of limits.
const movedPeriod = 10 * time.Second

// Ledger spends the tokens that one owner of a database was lent; it is safe for concurrent use. One batch of asks is on its way at a
// time.
type Ledger struct {
	clock clock.Clock
	wake  chan struct{}
	// alone is set when this ledger has no lender and no predecessor.
	alone bool

	mu sync.Mutex
	// number is that of the newest batch.
	number uint64
	// contacts are the lenders that were asked.
	contacts map[types.InstanceID]contact
	// answeredAt is when the newest batch was sent that a lender has answered.
	answeredAt clock.Moment
	// share is the part of the limits that this owner may spend while no lender answers.
	share  float64
	purses map[types.AccountID]*purse
	// sent is closed when the batch that is on its way has been answered or has failed, and next when the one after it has.
	sent, next chan struct{}
}

// contact is what an owner knows of a lender: its newest batch that the lender has answered and when that was sent, and when the lender
// was last asked.
type contact struct {
	answered          uint64
	answeredAt, asked clock.Moment
}

// Verdict says whether an operation may run. When neither Allowed nor Answer is set, the account is over its limit and may come back
// after Wait; Report is set when that is worth a line in the log, to the number of refusals since the last one. With Answer set a lender has to be asked: TakeAnswered tells more when Answer is closed.
type Verdict struct {
	Allowed bool
	Wait    time.Duration
	Report  uint64
	Answer  <-chan struct{}
}

// NewLedger returns the ledger of an owner that spends the given share of each limit while no lender answers.
func NewLedger(c clock.Clock, share float64) *Ledger {
	return &Ledger{
		// Batches of a former process on this machine had lower numbers.
		clock: c, share: share, number: uint64(c.Now()), wake: make(chan struct{}, 1), next: make(chan struct{}),
		contacts: map[types.InstanceID]contact{}, purses: map[types.AccountID]*purse{},
	}
}

// NewLocalLedger returns a ledger that alone holds accounts to their limits, whole and with the burst at once.
func NewLocalLedger(c clock.Clock) *Ledger {
	l := NewLedger(c, 1)
	l.alone = true
	return l
}

// SetShare sets the share for the time without a lender.
func (l *Ledger) SetShare(standing Standing, databases int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = standing.weight() / float64(max(1, databases))
}

// Wake receives a value when an account needs tokens before the next regular batch.
func (l *Ledger) Wake() <-chan struct{} { return l.wake }

// Take takes one operation of the account.
func (l *Ledger) Take(a acct.Account) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	p := l.purse(a.ID, now)
	p.recordDemand(now)
	if verdict, decided := p.take(a.Limit, now); decided {
		return verdict
	}
	if !l.lenderAnswers(now) {
		return l.takeFixed(p, a.Limit, now)
	}
	p.wanted = true
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return Verdict{Answer: l.next}
}

// TakeAnswered takes an operation for which a lender had to be asked.
func (l *Ledger) TakeAnswered(a acct.Account) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	p := l.purse(a.ID, now)
	if verdict, decided := p.take(a.Limit, now); decided {
		return verdict
	}
	if !l.lenderAnswers(now) {
		return l.takeFixed(p, a.Limit, now)
	}
	return p.refuse(minDenial, now)
}

// takeFixed takes an operation out of the share for the time without a lender.
func (l *Ledger) takeFixed(p *purse, limit acct.Limit, now clock.Moment) Verdict {
	if l.answeredAt != 0 {
		// Until then the lender may have counted this owner.
		if from := l.answeredAt.Add(registration + AnswerTimeout); p.fixed.updated < from {
			p.fixed = bucket{updated: from}
		}
	}
	if l.alone && p.fixed.updated == 0 {
		p.fixed = bucket{tokens: room(limit, l.share), updated: now}
	}
	p.fixed.fill(limit, l.share, now)
	if p.fixed.tokens >= 1 {
		p.fixed.tokens--
		return Verdict{Allowed: true}
	}
	wait := p.fixed.wait(limit, l.share)
	if !l.alone {
		wait = min(max(wait, minDenial), maxOwnDenial)
		p.deniedTo = now.Add(wait)
	}
	return p.refuse(wait, now)
}

// State returns the share of each limit that the owner may spend on its own, and whether it spends what a lender lends instead.
func (l *Ledger) State() (share float64, borrows bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share, l.lenderAnswers(l.clock.Now())
}

// Return gives back an operation that was taken and has certainly not reached a member.
func (l *Ledger) Return(a acct.Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.purses[a.ID]; p != nil && !a.Limit.Unlimited {
		p.lent, p.lentAt = p.lent+1, l.clock.Now()
	}
}

// Batch returns what to ask the lender for now. An empty one is worth sending as well: it keeps the owner counted. Borrow or Fail must
// follow.
func (l *Ledger) Batch(lender types.InstanceID, place Place, standing Standing) Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	c, known := l.contacts[lender]
	if !known {
		l.forgetContacts(now)
		c.answered = l.number
	}
	c.asked = now
	l.contacts[lender] = c
	l.number++
	if l.sent == nil {
		l.sent, l.next = l.next, make(chan struct{})
	}
	for other, c := range l.contacts {
		standing.Moved = standing.Moved || other != lender && c.answeredAt != 0 && now.Sub(c.answeredAt) < movedPeriod
	}
	batch := Batch{Place: place, Standing: standing, Number: l.number, Answered: c.answered}
	for id, p := range l.purses {
		if ask := p.ask(now); ask != (Ask{}) {
			ask.Account = id
			p.lent -= ask.Returned
			batch.Asks = append(batch.Asks, ask)
		} else if now.Sub(p.lastUse) > forgetAfter {
			delete(l.purses, id)
		}
	}
	return batch
}

// HasAsks reports whether the next batch would ask for tokens or give back some.
func (l *Ledger) HasAsks() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, p := range l.purses {
		if p.ask(now) != (Ask{}) {
			return true
		}
	}
	return false
}

// Borrow records a lender's answer to the newest batch, which was sent at the moment. It reports whether the lender has not counted this
// owner yet, so that the next batch is worth sending at once.
func (l *Ledger) Borrow(lender types.InstanceID, sent clock.Moment, loans []Loan) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	first := !l.lenderAnswers(now)
	c := l.contacts[lender]
	// A lender counts an owner from the batch on that confirms a recent answer.
	uncounted := c.answeredAt == 0 || sent.Sub(c.answeredAt) > registration
	c.answered, c.answeredAt = l.number, sent
	l.contacts[lender] = c
	l.answeredAt = max(l.answeredAt, sent)
	if first {
		for _, p := range l.purses {
			p.deniedTo = 0
		}
	}
	for _, loan := range loans {
		p := l.purse(loan.Account, now)
		if loan.Tokens > 0 {
			p.expire(now)
			p.lent, p.lentAt = p.lent+loan.Tokens, sent
		}
		if uncounted && loan.Tokens < 1 {
			continue
		}
		p.wanted = false
		if loan.Tokens < 1 && loan.Wait > 0 {
			p.deniedTo = now.Add(max(loan.Wait, minDenial))
		}
	}
	if !uncounted {
		l.wakeSessions()
	}
	return uncounted
}

// Fail records that no lender has answered.
func (l *Ledger) Fail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wakeSessions()
}

// forgetContacts drops the lenders that were not asked for so long that they do not remember this owner either.
func (l *Ledger) forgetContacts(now clock.Moment) {
	for id, c := range l.contacts {
		if now.Sub(c.asked) > forgetAfter {
			delete(l.contacts, id)
		}
	}
}

func (l *Ledger) lenderAnswers(now clock.Moment) bool {
	return l.answeredAt != 0 && now.Sub(l.answeredAt) <= registration
}

func (l *Ledger) purse(id types.AccountID, now clock.Moment) *purse {
	p := l.purses[id]
	if p == nil {
		p = &purse{lastUse: now}
		l.purses[id] = p
	}
	return p
}

func (l *Ledger) wakeSessions() {
	if l.sent != nil {
		close(l.sent)
		l.sent = nil
	}
}

package quota

import (
	"sync"
	"time"

	"turmericpulley/core/acct"
	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

const (
	// contest is how long an owner counts among those that want an account's tokens after it has asked for some.
	contest = 3 * AskInterval
	// unspent is how much more than the limit is lent, because owners do not spend all that they borrow. Together with what the owners of
	// a former lender spent while it still counted them, and startFraction, it stays below the tenth that an account may be over.
	unspent = 1.02
	// unspentOperations are lent beyond the limit in a period, because each owner may hold a token of a small account.
	unspentOperations = 6
	// startFraction and startOperations are the part of a period's operations that a lender lends at once although it does not know what
	// was lent before it. lonelyStartFraction takes the place of startFraction where nobody else can be lending.
	startFraction       = 0.04
	lonelyStartFraction = 0.07
	startOperations     = 6
	// forgetAfter is how long the bucket of an account is kept that nobody asks for. It is full by then.
	forgetAfter = 30 * time.Second
)

// Pool lends the tokens of accounts to the owners of databases; it is safe for concurrent use.
//
// In any period it lends no more than the rate allows in one, and the burst. It lends them evenly as far as the accounts ask evenly: an
// account that asks for much more gets its burst at once and then no more than the average.
type Pool struct {
	clock  clock.Clock
	period time.Duration

	mu       sync.Mutex
	counting counting
	// shares are the parts of each limit, by database, that the owners that count stand for; share is their sum.
	shares   map[types.DatabaseID]*databaseShare
	share    float64
	division division
	accounts map[types.AccountID]*account
	// lastAsk is when the newest batch came.
	lastAsk clock.Moment
}

// databaseShare is the counted part of one database.
type databaseShare struct {
	part float64
	// granted is the largest part for which the start was granted, times its fraction.
	granted float64
	// since is when the database began to count, and lastHeld when it last did before its last change. returned is set when it had counted
	// shortly before.
	since, lastHeld clock.Moment
	returned        bool
}

// account is what the lender knows of one account, with the owners that want its tokens.
type account struct {
	bucket
	window window
	limit  acct.Limit
	wants  map[Place]clock.Moment
	// firstExpires is no later than the moment at which the first of wants stops to count.
	firstExpires clock.Moment
}

// NewPool returns a pool that no owner has asked yet. The period is the one over which limits are counted.
func NewPool(c clock.Clock, period time.Duration) *Pool {
	return &Pool{
		clock: c, period: period, counting: newCounting(),
		shares: map[types.DatabaseID]*databaseShare{}, accounts: map[types.AccountID]*account{},
	}
}

// Lend answers the asks of an owner. Limits are divided among the given number of databases. An account that the lender does not know has
// no limit here: its configuration is older.
func (p *Pool) Lend(batch Batch, databases int, directory *acct.Directory) []Loan {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	r, standingChanged := p.register(batch, now)
	p.updateShares(p.counting.update(r, standingChanged, now), databases, now)
	p.lastAsk = now
	loans := make([]Loan, 0, len(batch.Asks))
	for _, ask := range batch.Asks {
		known, found := directory.Account(ask.Account)
		if !found || known.Limit.Unlimited {
			loans = append(loans, Loan{Account: ask.Account, Tokens: ask.Tokens})
			continue
		}
		loans = append(loans, p.lend(batch.Place, known, ask, now))
	}
	r.unconfirmed = append(r.unconfirmed, unconfirmed{batch.Number, now, loans})
	return loans
}

// average returns the limit whose rate includes the burst: what the account may send evenly.
func (p *Pool) average(limit acct.Limit) acct.Limit {
	if limit.Rate > 0 {
		limit.Rate = p.whole(limit) / p.period.Seconds()
		limit.Burst += unspentOperations
	}
	return limit
}

// whole returns what all databases together may be lent of the account in one period.
func (p *Pool) whole(limit acct.Limit) float64 {
	return (limit.Rate*p.period.Seconds()+limit.Burst)*unspent + unspentOperations
}

// allowed returns what may be lent of the account in one period.
func (p *Pool) allowed(limit acct.Limit) float64 { return p.share * p.whole(limit) }

// start returns what may be lent of the account at once by a lender that does not know what was lent before. The parts of the databases for
// which it is granted come multiplied by their fractions.
func (p *Pool) start(limit acct.Limit, granted float64) float64 {
	return granted * (limit.Rate*p.period.Seconds() + limit.Burst + startOperations/startFraction)
}

// account returns what is known of the account, up to date. Of a new one nothing was lent by this lender; what others may have lent is
// taken into account.
func (p *Pool) account(known acct.Account, now clock.Moment) *account {
	a := p.accounts[known.ID]
	if a == nil {
		a = &account{limit: known.Limit, wants: map[Place]clock.Moment{}}
		a.window.begin(p.period, now)
		unknown, granted := 0.0, 0.0
		for _, s := range p.shares {
			if now.Sub(s.since) >= p.period {
				continue
			}
			unknown += s.part
			if !s.returned {
				granted += s.granted
			}
		}
		a.bucket = bucket{tokens: room(p.average(known.Limit), max(0, p.share-unknown)), updated: now}
		p.assume(a, unknown, granted)
		p.accounts[known.ID] = a
	}
	a.window.advance(p.period, now)
	if a.limit != known.Limit {
		if before, after := p.allowed(a.limit), p.allowed(known.Limit); after < before {
			// A lower limit does not hold back an account for what it sent under the former one.
			a.window.scale(after / before)
		}
		a.limit = known.Limit
	}
	a.fill(p.average(a.limit), p.share, now)
	return a
}

// assume adds to an account what may have been lent of a part of its limit by others. What the start is granted for is lent all the same.
func (p *Pool) assume(a *account, part, granted float64) {
	if p.share <= 0 || part <= 0 && granted <= 0 {
		return
	}
	lent, burst := p.allowed(a.limit)*part/p.share, room(p.average(a.limit), part)
	if a.limit.Rate > 0 {
		start := p.start(a.limit, granted)
		a.tokens += start
		lent -= start
	}
	a.window.assume(lent, burst)
}

// lend answers one ask. Owners that want the same account's tokens get equal parts of what there is, at least one each.
func (p *Pool) lend(place Place, known acct.Account, ask Ask, now clock.Moment) Loan {
	a := p.account(known, now)
	if ask.Returned > 0 {
		a.tokens += a.window.takeBack(ask.Returned, loanLasts, p.period)
	}
	loan := Loan{Account: known.ID}
	if ask.Tokens <= 0 {
		return loan
	}
	a.wants[place] = now
	a.dropExpired(now)
	room := p.allowed(a.limit) - a.window.sum
	switch {
	case a.limit.Rate <= 0:
		loan.Wait = time.Second
	case room < 1:
		loan.Wait = p.promise(a.window.wait(1-room, p.period, now))
	case a.tokens < 1:
		loan.Wait = p.promise(a.wait(p.average(a.limit), p.share))
	}
	if loan.Wait > 0 {
		return loan
	}
	loan.Tokens = min(ask.Tokens, max(1, min(a.tokens, room)/float64(len(a.wants))))
	a.tokens -= loan.Tokens
	a.window.add(loan.Tokens)
	return loan
}

// dropExpired drops the owners that have not asked for longer than contest.
func (a *account) dropExpired(now clock.Moment) {
	if now <= a.firstExpires {
		return
	}
	a.firstExpires = now.Add(contest)
	for place, at := range a.wants {
		if now.Sub(at) > contest {
			delete(a.wants, place)
			continue
		}
		a.firstExpires = min(a.firstExpires, at.Add(contest))
	}
}

// promise shortens a wait that was computed for a part of the databases: their other owners may be counted soon.
func (p *Pool) promise(wait time.Duration) time.Duration {
	if p.share < 1-roundingError {
		return min(max(wait, minDenial), AskInterval)
	}
	return max(wait, minDenial)
}

package quota

import (
	"math"

	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

// roundingError is the largest difference between two sums of the same parts in another order.
const roundingError = 1e-9

// registered is what a lender knows of an owner: when the newest batch came whose answer the owner has confirmed, and the batches since.
type registered struct {
	place Place
	// counted is whether the owner was last found to count. expires is no later than the moment at which it stops to count, or to be known
	// if it does not.
	counted     bool
	expires     clock.Moment
	at          clock.Moment
	standing    Standing
	asked       clock.Moment
	unconfirmed []unconfirmed
}

// counts reports whether the owner counts at the moment.
func (r *registered) counts(now clock.Moment) bool { return r.at != 0 && now.Sub(r.at) <= registration }

// unconfirmed is a batch that was answered; the owner has not said yet whether the answer came.
type unconfirmed struct {
	number uint64
	at     clock.Moment
	loans  []Loan
}

// register records that the owner asks, and takes back what it was lent by answers that did not come. It reports whether the owner has another
// standing than before.
func (p *Pool) register(batch Batch, now clock.Moment) (r *registered, standingChanged bool) {
	r = p.counting.find(batch.Place, now)
	standingChanged = r.standing != batch.Standing
	r.standing, r.asked = batch.Standing, now
	for _, u := range r.unconfirmed {
		switch {
		case u.number == batch.Answered:
			r.at = u.at
		case u.number > batch.Answered && u.number < batch.Number && now.Sub(u.at) < p.period:
			for _, loan := range u.loans {
				if a := p.accounts[loan.Account]; a != nil {
					a.window.advance(p.period, now)
					a.tokens += a.window.takeBack(loan.Tokens, now.Sub(u.at)+p.period/windowSlots, p.period)
				}
			}
		}
	}
	r.unconfirmed = r.unconfirmed[:0]
	return r, standingChanged
}

// updateShares settles what is due to the accounts when the counted parts of the databases change: those of the changed ones, and all when the
// limits are divided differently.
func (p *Pool) updateShares(changed map[types.DatabaseID]bool, databases int, now clock.Moment) {
	if d := p.counting.divide(databases); d != p.division {
		p.division = d
		for id := range p.counting.byDatabase {
			changed[id] = true
		}
	}
	joined, granted, share := 0.0, 0.0, p.share
	for id := range changed {
		s, counted := p.shares[id], p.counting.part(id, p.division)
		if s != nil && s.part > 0 {
			// Its owners counted up to the last ask.
			s.lastHeld = p.lastAsk
			share -= s.part
		}
		switch {
		case counted.share == 0:
			if s != nil {
				s.part = 0
			}
			continue
		case s == nil || now.Sub(s.lastHeld) > p.period:
			s = &databaseShare{since: now}
			p.shares[id] = s
		case s.part == 0:
			s.since, s.returned = now, true
		}
		joined += max(0, counted.share-s.part)
		granted += max(0, counted.start-s.granted)
		s.part, s.granted = counted.share, max(counted.start, s.granted)
		share += counted.share
	}
	if len(p.counting.byDatabase) == 0 {
		share = 0
	}
	if math.Abs(share-p.share) > roundingError {
		p.settle(share, joined, granted, now)
	}
}

// settle changes the share. joined is the part that has begun to count, and granted what of it has not counted lately, times the fraction of
// the start.
func (p *Pool) settle(share, joined, granted float64, now clock.Moment) {
	former := p.share
	if former == 0 {
		// What others lent since is not known.
		clear(p.accounts)
	}
	for id, a := range p.accounts {
		if now.Sub(a.updated) > forgetAfter {
			delete(p.accounts, id)
			continue
		}
		a.fill(p.average(a.limit), former, now)
		a.window.advance(p.period, now)
	}
	p.share = share
	for _, a := range p.accounts {
		if kept := share - joined; kept < former {
			// What the owners that have gone were lent is taken to be their part.
			a.window.scale(max(0, kept) / former)
		}
		p.assume(a, joined, granted)
	}
}

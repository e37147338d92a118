package quota

import (
	"time"

	"turmericpulley/core/acct"
	"turmericpulley/core/clock"
)

// demandPeriod is the time over which the demand of an account is averaged.
const demandPeriod = time.Second

// reportInterval is the shortest time between two reports that an account is over its limit.
const reportInterval = time.Second

// purse is what an owner knows of one account.
type purse struct {
	// limit is the one under which the account was denied until deniedTo.
	limit    acct.Limit
	deniedTo clock.Moment
	// lent are borrowed tokens, the newest of which were asked for at lentAt; fixed is the bucket for the time without a lender.
	lent    float64
	lentAt  clock.Moment
	fixed   bucket
	lastUse clock.Moment
	// wanted is set while an operation waits for tokens.
	wanted bool
	// demand is the number of operations asked for, decaying over demandPeriod.
	demand float64
	// refused counts the refusals since reportedAt.
	refused    uint64
	reportedAt clock.Moment
}

// take decides on an operation as far as no lender and no fixed share is needed.
func (p *purse) take(limit acct.Limit, now clock.Moment) (Verdict, bool) {
	p.expire(now)
	if p.limit != limit {
		p.limit, p.deniedTo = limit, 0
	}
	switch {
	case limit.Unlimited:
	case p.lent >= 1:
		p.lent--
	case now < p.deniedTo:
		return p.refuse(p.deniedTo.Sub(now), now), true
	default:
		return Verdict{}, false
	}
	return Verdict{Allowed: true}, true
}

// refuse counts a refusal.
func (p *purse) refuse(wait time.Duration, now clock.Moment) Verdict {
	p.refused++
	v := Verdict{Wait: wait}
	if now.Sub(p.reportedAt) >= reportInterval {
		v.Report, p.refused, p.reportedAt = p.refused, 0, now
	}
	return v
}

// ask returns what to ask a lender for, or to give back; the zero value for nothing.
func (p *purse) ask(now clock.Moment) Ask {
	p.expire(now)
	idle := now.Sub(p.lastUse) > idleAfter
	ahead := p.demandAt(now) * askAhead.Seconds() / demandPeriod.Seconds()
	switch {
	case p.limit.Unlimited:
		return Ask{}
	case p.wanted:
		return Ask{Tokens: max(1, ahead)}
	case idle && p.lent > 0:
		return Ask{Returned: p.lent}
	case p.lent > 2*(ahead+1):
		return Ask{Returned: p.lent - ahead - 1}
	case !idle && ahead >= 2 && p.lent < ahead/2 && now >= p.deniedTo:
		return Ask{Tokens: ahead - p.lent}
	}
	return Ask{}
}

// expire drops loans that have lasted too long.
func (p *purse) expire(now clock.Moment) {
	if p.lent > 0 && now.Sub(p.lentAt) > loanLasts {
		p.lent = 0
	}
}

func (p *purse) recordDemand(now clock.Moment) {
	p.demand = p.demandAt(now) + 1
	p.lastUse = now
}

// demandAt returns the operations asked for in the last demandPeriod; it falls linearly while nothing is asked for.
func (p *purse) demandAt(now clock.Moment) float64 {
	return p.demand * max(0, 1-now.Sub(p.lastUse).Seconds()/demandPeriod.Seconds())
}

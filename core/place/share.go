package place

import (
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

const (
	// shareTimeConstant is the time over which the use of an account is averaged: longer than the time after which refused callers return,
	// and short enough that an account that stops asking for too much is served as before within seconds.
	shareTimeConstant = 2 * time.Second
	// shareTolerance is how many times its share an account may use before it is over it, because arrivals vary. It is over it until it
	// used less than recoveredShare of its share, so that one that goes on asking for more has its share on the average.
	shareTolerance = 1.2
	recoveredShare = 0.9
	// shareSlack is what any account may use besides, so that a small one is not over its share by a few statements at once.
	shareSlack = 50 * time.Millisecond
	// usualTimeConstant is the time over which the usual use of an account is averaged, its weight where no account has one.
	usualTimeConstant = time.Minute
	// shareInterval is the time between two sums over all accounts.
	shareInterval = 100 * time.Millisecond
	// forgottenUse is the use below which an account is forgotten.
	forgottenUse = time.Millisecond
	// maxShares bounds the accounts that are remembered. Further ones are within their share until others are forgotten.
	maxShares = 1024
)

// shares records how much of the members' time each client account has used lately. An account is over its share when it used clearly more
// than its part of all that was used. The parts of the accounts that used any are in proportion to their weights, and where none has a weight to what
// they usually use: equal parts would put the accounts that are always large behind one that is suddenly large.
//
// Use is counted when a statement is granted, so that an account that asks for much does not use more than its share while others wait,
// and has all that they leave.
type shares struct {
	accounts map[types.AccountID]*accountShare
	total    decayingValue
	// weights is the sum of the weights of the accounts at summedAt, meanWeight the weight of an account without one;
	// zero when none has one.
	weights, meanWeight float64
	summedAt            clock.Moment
	// behind counts the statements that waited behind others for this.
	behind uint64
}

// accountShare is the recent use of one account, in seconds of the members' time.
type accountShare struct {
	used, usual decayingValue
	weight      float64
	over        bool
}

func newShares() *shares { return &shares{accounts: map[types.AccountID]*accountShare{}} }

// of returns the record of the request's account; nil when the statement belongs to none or too many are remembered.
func (s *shares) of(r SlotRequest) *accountShare {
	if r.Account == "" {
		return nil
	}
	a := s.accounts[r.Account]
	if a == nil {
		if len(s.accounts) >= maxShares {
			return nil
		}
		a = &accountShare{}
		s.accounts[r.Account] = a
	}
	a.weight = r.Weight
	return a
}

// record adds a statement that is granted.
func (s *shares) record(a *accountShare, serviceTime time.Duration, now clock.Moment) {
	if a == nil {
		return
	}
	a.used.set(a.used.valueAt(now, shareTimeConstant)+serviceTime.Seconds(), now)
	a.usual.set(a.usual.valueAt(now, usualTimeConstant)+serviceTime.Seconds(), now)
	s.total.set(s.total.valueAt(now, shareTimeConstant)+serviceTime.Seconds(), now)
	s.update(now)
	s.judge(a, now)
}

// update sums the weights and judges all accounts, once in each interval.
func (s *shares) update(now clock.Moment) {
	if now.Sub(s.summedAt) < shareInterval {
		return
	}
	s.summedAt = now
	weights, usual, weighted := 0.0, 0.0, 0
	for account, a := range s.accounts {
		if a.used.valueAt(now, shareTimeConstant) < forgottenUse.Seconds() {
			a.over = false
			delete(s.accounts, account)
			continue
		}
		usual += a.usual.valueAt(now, usualTimeConstant)
		if a.weight > 0 {
			weights += a.weight
			weighted++
		}
	}
	s.meanWeight, s.weights = 0, usual
	if weighted > 0 {
		s.meanWeight = weights / float64(weighted)
		s.weights = weights + s.meanWeight*float64(len(s.accounts)-weighted)
	}
	for _, a := range s.accounts {
		s.judge(a, now)
	}
}

// judge decides whether the account is over its share.
func (s *shares) judge(a *accountShare, now clock.Moment) {
	weight := a.weight
	switch {
	case s.meanWeight == 0:
		weight = a.usual.valueAt(now, usualTimeConstant)
	case weight <= 0:
		weight = s.meanWeight
	}
	part := weight / max(s.weights, weight)
	share := part * s.total.valueAt(now, shareTimeConstant)
	if a.over {
		share *= recoveredShare
	} else {
		share = shareTolerance*share + shareSlack.Seconds()
	}
	a.over = len(s.accounts) > 1 && a.used.valueAt(now, shareTimeConstant) > share
}

// isOverShare reports whether the account of the waiting statement is over its share.
func (w *waiter) isOverShare() bool { return w.share != nil && w.share.over }

// Shares returns how many accounts have used the members lately and how many of them are over their shares, and how many statements have
// waited behind others for that since the scheduler began.
func (s *Scheduler) Shares() (accounts, over int, behind uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares.update(s.clock.Now())
	for _, a := range s.shares.accounts {
		if a.over {
			over++
		}
	}
	return len(s.shares.accounts), over, s.shares.behind
}

package keep

import (
	"iter"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

const (
	// ageingPeriod is the time after which the recorded uses count half. Small accounts use a member once in some seconds, so that a
	// shorter one could not tell them apart.
	ageingPeriod = 15 * time.Second
	// forgottenUses is the number of uses below which an account is forgotten: one use is after five periods.
	forgottenUses = 1.0 / 32
	// maxAccounts bounds the accounts that are remembered for a member. When it is reached the least used one is forgotten.
	maxAccounts = 1024
	// initialHold is how long a statement is assumed to hold its connection before the first has returned one.
	initialHold = 20 * time.Millisecond
	// holdWeight is the weight of one use in the average time for which a connection is held.
	holdWeight = 0.1
)

// Uses records how often and for how long the statements of each client account use connections to one member. It is not safe for
// concurrent use.
type Uses struct {
	accounts map[types.AccountID]*use
	// began is the start of the current ageing period. before is the time before it, which counts half for each period since.
	began  clock.Moment
	before time.Duration
}

// use is what is recorded of one account.
type use struct {
	count float64
	held  time.Duration
}

// NewUses returns a record without uses that begins now.
func NewUses(now clock.Moment) *Uses {
	return &Uses{accounts: map[types.AccountID]*use{}, began: now}
}

// Take records that a statement of the account needs a connection.
func (u *Uses) Take(account types.AccountID, now clock.Moment) {
	u.age(now)
	record := u.accounts[account]
	if record == nil {
		if len(u.accounts) >= maxAccounts {
			u.forgetLeast()
		}
		record = &use{held: initialHold}
		u.accounts[account] = record
	}
	record.count++
}

// Return records for how long a connection of the account was held.
func (u *Uses) Return(account types.AccountID, held time.Duration) {
	if record := u.accounts[account]; record != nil {
		record.held += time.Duration(holdWeight * float64(held-record.held))
	}
}

// Worth returns how often a second a connection of the account is used that it holds besides others: the rate of its statements that find
// all others in use (Erlang's loss formula). The worth of the only one is the rate of all of its statements.
func (u *Uses) Worth(account types.AccountID, others int, now clock.Moment) float64 {
	u.age(now)
	record := u.accounts[account]
	if record == nil {
		return 0
	}
	rate := record.count / max(u.before+now.Sub(u.began), time.Second).Seconds()
	offered, lost := rate*record.held.Seconds(), 1.0
	for n := range others {
		lost = offered * lost / (float64(n+1) + offered*lost)
	}
	return rate * lost
}

// Holding is the number of connections that an account holds.
type Holding struct {
	Idle, InUse int
}

// Least returns the account whose idle connection is worth least, and its worth; false when none has an idle one. Among equals it is
// the first by name, so that the choice does not depend on the order of a map.
func (u *Uses) Least(held iter.Seq2[types.AccountID, Holding], now clock.Moment) (least types.AccountID, worth float64, found bool) {
	for account, h := range held {
		if h.Idle == 0 {
			continue
		}
		w := u.Worth(account, h.Idle+h.InUse-1, now)
		if !found || w < worth || w == worth && account < least {
			least, worth, found = account, w, true
		}
	}
	return least, worth, found
}

// PaysToWait reports whether a statement of the account better waits for a connection of its own account that is soon returned than has
// one opened in place of the least one of the others: that one is used more often than the new one would be.
//
// The account is one of those that hold connections; returning is how many of its own are in use and not held by a transaction.
func (u *Uses) PaysToWait(
	account types.AccountID, own Holding, returning int, held iter.Seq2[types.AccountID, Holding], now clock.Moment,
) bool {
	if returning == 0 {
		return false
	}
	_, worth, found := u.Least(held, now)
	return !found || worth >= u.Worth(account, own.Idle+own.InUse, now)
}

// age halves what was recorded for each ageing period that has passed.
func (u *Uses) age(now clock.Moment) {
	for now.Sub(u.began) >= ageingPeriod {
		u.before, u.began = (u.before+ageingPeriod)/2, u.began.Add(ageingPeriod)
		for account, record := range u.accounts {
			if record.count /= 2; record.count < forgottenUses {
				delete(u.accounts, account)
			}
		}
		if len(u.accounts) == 0 && now.Sub(u.began) >= ageingPeriod {
			u.before, u.began = 0, now
		}
	}
}

func (u *Uses) forgetLeast() {
	var least types.AccountID
	found := false
	for account, record := range u.accounts {
		if !found || record.count < u.accounts[least].count {
			least, found = account, true
		}
	}
	delete(u.accounts, least)
}

package quota

import (
	"time"

	"turmericpulley/core/types"
)

const (
	// AskInterval is the time between two batches of asks of an owner. It is short against the second for which an account's burst lasts,
	// and long against the half millisecond between two instances.
	AskInterval = 100 * time.Millisecond
	// KeepRegistered is the longest time between two asks of an owner, short enough that one may be lost before it stops counting.
	KeepRegistered = 2 * AskInterval
	// AnswerTimeout is how long an owner waits for a lender's answer. Instances answer within a few milliseconds.
	AnswerTimeout = 80 * time.Millisecond
	// registration is how long an owner counts at a lender after an ask whose answer it has confirmed, and how long it spends no fixed
	// share after such an ask. A lender that is cut off lends the others' shares for that long.
	registration = 500 * time.Millisecond
	// LenderPause is how long a lender that gave no answer is not asked. It no longer counts the owner when it is asked again: it would lend
	// what another has lent meanwhile.
	LenderPause = registration + AskInterval
	// loanLasts is how long a loan may be spent. Windows count loans when they are made, so that an old one would come on top.
	loanLasts = 1500 * time.Millisecond
)

// Place is one owner of one database, as a lender knows it.
type Place struct {
	Database types.DatabaseID
	Instance types.InstanceID
}

// Standing is what an owner knows of its right to the database.
type Standing struct {
	// FormerStopped is set when no former owner can be working.
	FormerStopped bool
	// Confirmed is set when the store has lately shown that there is no later one.
	Confirmed bool
	// Moved is set when another lender has lately lent to the owner, and may still lend to others.
	Moved bool
}

// Batch is what an owner asks a lender for at once.
type Batch struct {
	Place    Place
	Standing Standing
	// Number is larger than those of earlier batches of the owner.
	Number uint64
	// Answered is the number of the owner's newest batch that this lender has answered. Those that came to this lender between the two
	// were not answered in time, and nothing that was lent by them is spent.
	Answered uint64
	Asks     []Ask
}

// Ask asks for tokens of an account and gives back those that were not needed.
type Ask struct {
	Account  types.AccountID
	Tokens   float64
	Returned float64
}

// Loan answers an Ask. Wait is how long until the account has a token again when none was lent.
type Loan struct {
	Account types.AccountID
	Tokens  float64
	Wait    time.Duration
}

// start returns the part of a period's operations that the owner brings along when a lender begins to count it.
func (s Standing) start() float64 {
	if s.FormerStopped && !s.Moved {
		return lonelyStartFraction
	}
	return startFraction
}

// weight is the share of its database's part of the limits that an owner counts for. Where another instance may work as the owner too,
// each of the two gets half.
func (s Standing) weight() float64 {
	if s.FormerStopped && s.Confirmed {
		return 1
	}
	return 0.5
}

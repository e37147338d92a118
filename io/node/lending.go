package node

import (
	"context"
	"math"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/clock"
	"turmericpulley/core/quota"
	"turmericpulley/core/types"
	"turmericpulley/io/peers"
	"turmericpulley/io/wire"
)

// thousandths is the number of parts in which operations are counted between instances.
const thousandths = 1000

// errNoAccounts reports a lender whose configuration has no accounts.
var errNoAccounts = errors.New("the lender knows no accounts")

// borrower keeps the ledger of an ownership supplied. Only one goroutine uses it.
type borrower struct {
	limits    *limits
	ownership *ownership
	// channel is open to the lender; nil when there is none.
	lender  types.InstanceID
	channel *peers.Channel
}

// run asks lenders until the ownership or the context ends.
func (b *borrower) run(ctx context.Context) {
	defer b.closeChannel()
	o, n := b.ownership, b.limits.node
	var lastAsk clock.Moment
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		urgent := false
		select {
		case <-timer.C:
		case <-o.ledger.Wake():
			urgent = true
		case <-ctx.Done():
			return
		}
		if n.ownerships.get(o.database) != o {
			return
		}
		directory, databases := b.limits.accounts()
		if directory == nil {
			timer.Reset(accountsCheckInterval)
			continue
		}
		timer.Reset(quota.AskInterval)
		o.ledger.SetShare(o.standing(), databases)
		if now := n.settings.Clock.Now(); urgent || now.Sub(lastAsk) >= quota.KeepRegistered || o.ledger.HasAsks() {
			lastAsk = now
			b.ask(ctx)
		}
	}
}

// ask sends a batch to the first lender that answers.
func (b *borrower) ask(ctx context.Context) {
	l := b.limits
	for _, lender := range l.lenders() {
		if b.askLender(ctx, lender) {
			return
		}
		l.recordFailed(lender)
	}
	b.ownership.ledger.Fail()
}

// askLender asks one lender, twice if it has not counted this owner yet, and reports whether it has answered.
func (b *borrower) askLender(ctx context.Context, lender types.InstanceID) bool {
	o, n := b.ownership, b.limits.node
	place := quota.Place{Database: o.database, Instance: n.settings.Self.ID}
	for {
		if lender != n.settings.Self.ID && !b.openChannel(ctx, lender) {
			return false
		}
		sent := n.settings.Clock.Now()
		batch := o.ledger.Batch(lender, place, o.standing())
		loans, err := b.exchange(lender, batch)
		if late := n.settings.Clock.Since(sent) > quota.AnswerTimeout; err != nil || late {
			n.logger.Debug("lender of the accounts' limits gave no answer", "lender", lender, "database", o.database, "late", late, "error", err)
			b.closeChannel()
			return false
		}
		if !o.ledger.Borrow(lender, sent, loans) {
			return true
		}
	}
}

// exchange sends a batch to the lender, which may be this instance.
func (b *borrower) exchange(lender types.InstanceID, batch quota.Batch) ([]quota.Loan, error) {
	if lender == b.limits.node.settings.Self.ID {
		directory, databases := b.limits.accounts()
		return b.limits.pool.Lend(batch, databases, directory), nil
	}
	reply, err := b.limits.node.exchange(time.Now().Add(quota.AnswerTimeout), b.channel, &wire.Call{Kind: &wire.Call_Lend{Lend: encodeBatch(batch)}})
	switch {
	case err != nil:
		return nil, err
	case reply.GetLent() == nil:
		return nil, errNoAccounts
	}
	return decodeLoans(reply.GetLent()), nil
}

// openChannel keeps a channel open to the lender, and reports whether there is one.
func (b *borrower) openChannel(ctx context.Context, lender types.InstanceID) bool {
	if b.channel != nil && b.lender == lender {
		return true
	}
	b.closeChannel()
	n := b.limits.node
	instance, known := n.directory.instance(lender)
	if !known {
		return false
	}
	channel, err := n.openChannel(ctx, instance)
	if err != nil {
		n.logger.Debug("lender of the accounts' limits not reached", "lender", lender, "database", b.ownership.database, "error", err)
		return false
	}
	b.channel, b.lender = channel, lender
	return true
}

func (b *borrower) closeChannel() {
	if b.channel != nil {
		b.channel.Close()
		b.channel = nil
	}
}

// serveLend lends operations to the owner of a database. The reply is empty while this instance knows no accounts.
func (l *limits) serveLend(request *wire.Lend) *wire.CallReply {
	directory, databases := l.accounts()
	if directory == nil {
		return &wire.CallReply{}
	}
	answer := &wire.Lent{}
	for _, loan := range l.pool.Lend(decodeBatch(request), databases, directory) {
		answer.Loans = append(answer.Loans, &wire.Loan{
			Account: string(loan.Account), Tokens: encodeTokens(loan.Tokens), WaitMs: ageMilliseconds(loan.Wait),
		})
	}
	return &wire.CallReply{Kind: &wire.CallReply_Lent{Lent: answer}}
}

func encodeBatch(b quota.Batch) *wire.Lend {
	message := &wire.Lend{
		Database: string(b.Place.Database), Instance: string(b.Place.Instance), FormerStopped: b.Standing.FormerStopped,
		Confirmed: b.Standing.Confirmed, Moved: b.Standing.Moved, Number: b.Number, Answered: b.Answered,
	}
	for _, a := range b.Asks {
		message.Asks = append(message.Asks, &wire.LendAsk{
			Account: string(a.Account), Tokens: encodeTokens(a.Tokens), Returned: encodeTokens(a.Returned),
		})
	}
	return message
}

func decodeBatch(message *wire.Lend) quota.Batch {
	b := quota.Batch{
		Place:    quota.Place{Database: types.DatabaseID(message.GetDatabase()), Instance: types.InstanceID(message.GetInstance())},
		Standing: quota.Standing{FormerStopped: message.GetFormerStopped(), Confirmed: message.GetConfirmed(), Moved: message.GetMoved()},
		Number:   message.GetNumber(), Answered: message.GetAnswered(),
	}
	for _, a := range message.GetAsks() {
		b.Asks = append(b.Asks, quota.Ask{
			Account: types.AccountID(a.GetAccount()), Tokens: decodeTokens(a.GetTokens()), Returned: decodeTokens(a.GetReturned()),
		})
	}
	return b
}

func decodeLoans(message *wire.Lent) []quota.Loan {
	loans := make([]quota.Loan, 0, len(message.GetLoans()))
	for _, loan := range message.GetLoans() {
		loans = append(loans, quota.Loan{
			Account: types.AccountID(loan.GetAccount()), Tokens: decodeTokens(loan.GetTokens()), Wait: milliseconds(loan.GetWaitMs()),
		})
	}
	return loans
}

// encodeTokens rounds down, so that no part of an operation is counted twice.
func encodeTokens(tokens float64) uint32 { return uint32(min(tokens*thousandths, math.MaxUint32)) }

func decodeTokens(tokens uint32) float64 { return float64(tokens) / thousandths }

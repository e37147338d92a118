package group

import (
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
	"turmericpulley/io/logs"
)

// operation is the operation of an account that a statement takes for its attempts at members.
type operation struct {
	limiter Limiter
	account types.AccountID
	// taken is set while the operation is taken and has certainly not run.
	taken bool
}

func (g *Group) newOperation(account types.AccountID) *operation {
	return &operation{limiter: g.settings.Limiter, account: account}
}

// take takes the operation for an attempt, unless it is left from the one before. When it reports false the account is over its limit, and
// may come back after the duration.
func (o *operation) take() (time.Duration, bool) {
	if o.limiter == nil || o.account == "" || o.taken {
		return 0, true
	}
	wait, allowed := o.limiter.Take(o.account)
	o.taken = allowed
	return wait, allowed
}

// record records the end of an attempt. The reply of an attempt whose answer is missing has a code as if it had not run; one that failed at
// the member has run.
func (o *operation) record(r stmt.Reply, outcome attemptOutcome) {
	o.taken = o.taken && outcome != outcomeFinal && outcome != outcomeUnknown && r.Code.NotRun()
}

// giveBack gives the operation back if it has not run.
func (o *operation) giveBack() {
	if o.taken {
		o.limiter.Return(o.account)
	}
}

// overLimitReply refuses a statement of an account that is over its limit. It waits in no queue.
func (s *Session) overLimitReply(req Request, wait time.Duration) stmt.Reply {
	s.group.requestLogger.Info("request over the limit of its account", "request", logs.Text(req.Statement.ID), "account", req.Account,
		"comeBackIn", wait.String())
	r := s.failureReply(req, stmt.Overloaded, OverLimitText(wait))
	r.OverLimit = wait
	return r
}

// OverLimitText is what the caller of an account that is over its limit is told.
func OverLimitText(wait time.Duration) string {
	return string(fault.RateExceeded) + ": the client account is over its limit; it has not run; come back in " + wait.Round(time.Millisecond).String()
}

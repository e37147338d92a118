package front

import (
	"sync"
	"time"

	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
	"turmericpulley/core/usage"
	"turmericpulley/io/group"
)

// overLimits are the accounts that owners have found over their limits, with the time at which they may come back. Until then their
// operations are refused here, without a message to the owner. It is safe for concurrent use.
type overLimits struct {
	mu    sync.Mutex
	until map[overLimit]time.Time
}

type overLimit struct {
	account  types.AccountID
	database types.DatabaseID
}

// maxOverLimits bounds the entries; those whose time has come are dropped when it is reached.
const maxOverLimits = 4096

// maxOverLimit bounds the time for which an account is refused without asking its owner, because its limit may be raised meanwhile.
const maxOverLimit = 500 * time.Millisecond

func newOverLimits() *overLimits { return &overLimits{until: map[overLimit]time.Time{}} }

// left returns for how long the account is still over its limit at the owner of the database.
func (o *overLimits) left(entry overLimit) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	until, found := o.until[entry]
	if !found {
		return 0
	}
	left := time.Until(until)
	if left <= 0 {
		delete(o.until, entry)
	}
	return max(0, left)
}

func (o *overLimits) record(entry overLimit, wait time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.until) >= maxOverLimits {
		for other, until := range o.until {
			if time.Until(until) <= 0 {
				delete(o.until, other)
			}
		}
	}
	if len(o.until) < maxOverLimits {
		o.until[entry] = time.Now().Add(wait)
	}
}

// checkLimit refuses the first statement of an operation whose account is known to be over its limit.
func (s *session) checkLimit(req group.Request) (stmt.Reply, bool) {
	if req.Account == "" || req.Continues() {
		return stmt.Reply{}, false
	}
	left := s.server.overLimits.left(overLimit{req.Account, s.route.Database})
	if left == 0 {
		return stmt.Reply{}, false
	}
	r := stmt.Failure(stmt.Overloaded, group.OverLimitText(left))
	r.OverLimit = left
	return r, true
}

// recordLimit records that the owner has found the account over its limit.
func (s *session) recordLimit(req group.Request, r stmt.Reply) {
	if r.OverLimit > 0 {
		s.server.overLimits.record(overLimit{req.Account, s.route.Database}, min(r.OverLimit, maxOverLimit))
	}
}

// countAccount counts a reply under the session's account.
func (s *session) countAccount(r stmt.Reply, elapsed time.Duration) {
	if s.server.settings.Usage == nil || s.account == "" {
		return
	}
	outcome := usage.Answered
	switch {
	case r.OverLimit > 0:
		outcome = usage.OverLimit
	case r.Text == textNotProved:
		outcome = usage.NotProved
	case r.Code != stmt.OK:
		outcome = usage.Failed
	}
	s.server.settings.Usage.Record(s.account, outcome, elapsed)
}

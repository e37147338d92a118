package node

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"turmericpulley/core/acct"
	"turmericpulley/core/clock"
	"turmericpulley/core/quota"
	"turmericpulley/core/routes"
	"turmericpulley/core/types"
	"turmericpulley/io/logs"
)

const (
	// accountsCheckInterval is the time between two checks whether the configuration has accounts.
	accountsCheckInterval = time.Second
	// confirmedPeriod is how old the read of the store that confirmed an ownership may be, so that the owner counts in full: another
	// instance that became the owner since then counts for half of the database, and this one for the other half.
	confirmedPeriod = 2500 * time.Millisecond
	// maxAskWait bounds how long an operation waits for a lender, so that a second one may be asked where the first gives no answer.
	maxAskWait = quota.AnswerTimeout + 20*time.Millisecond
	// maxLenders is how many lenders are asked one after the other.
	maxLenders = 2
)

// limits holds the client accounts to their limits at this instance, as the lender of operations and as the owner of databases that
// borrows them.
type limits struct {
	node *Node
	pool *quota.Pool

	mu sync.Mutex
	// failed are the lenders that gave no answer, with the moment.
	failed map[types.InstanceID]clock.Moment
	// sortedDatabases are the databases of the configuration sortedOf.
	sortedOf        *routes.Table
	sortedDatabases []types.DatabaseID
}

func newLimits(n *Node) *limits {
	period := cmp.Or(n.settings.LimitPeriod, DefaultLimitPeriod)
	return &limits{node: n, pool: quota.NewPool(n.settings.Clock, period), failed: map[types.InstanceID]clock.Moment{}}
}

// accounts returns the client accounts and the number of databases among which their limits are divided; nil when there are no accounts.
func (l *limits) accounts() (*acct.Directory, int) {
	table := l.node.routes.Table()
	if table == nil {
		return nil, 0
	}
	return table.Accounts, len(table.Databases)
}

// lenders returns the instances to ask, at most maxLenders, the first one first: the owners of the databases in the order of their ids. All
// owners of a fleet that know the same owners ask the same one.
func (l *limits) lenders() []types.InstanceID {
	now := l.node.settings.Clock.Now()
	lenders := make([]types.InstanceID, 0, maxLenders)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.sortDatabases(l.node.routes.Table()) {
		record, known := l.node.directory.owner(id)
		if !known || slices.Contains(lenders, record.Instance) {
			continue
		}
		if failed, found := l.failed[record.Instance]; found {
			if now.Sub(failed) < quota.LenderPause {
				continue
			}
			delete(l.failed, record.Instance)
		}
		if lenders = append(lenders, record.Instance); len(lenders) == maxLenders {
			break
		}
	}
	return lenders
}

// sortDatabases returns the ids of the configuration's databases in order; it sorts them only after a change. The caller holds the lock.
func (l *limits) sortDatabases(table *routes.Table) []types.DatabaseID {
	if l.sortedOf != table {
		l.sortedOf, l.sortedDatabases = table, slices.Sorted(maps.Keys(table.Databases))
	}
	return l.sortedDatabases
}

// recordFailed records that the lender gave no answer.
func (l *limits) recordFailed(lender types.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed[lender] = l.node.settings.Clock.Now()
}

// Take takes one operation of the account. It implements group.Limiter.
func (o *ownership) Take(id types.AccountID) (time.Duration, bool) {
	l := o.node.limits
	directory, _ := l.accounts()
	account, known := directory.Account(id)
	if !known {
		// The caller's instance has a newer configuration.
		return 0, true
	}
	verdict := o.ledger.Take(account)
	if verdict.Answer != nil {
		timer := time.NewTimer(maxAskWait)
		defer timer.Stop()
		select {
		case <-verdict.Answer:
		case <-timer.C:
		case <-o.node.ctx.Done():
		}
		verdict = o.ledger.TakeAnswered(account)
	}
	if verdict.Report > 0 {
		share, borrows := o.ledger.State()
		o.node.logger.Info(logs.OverLimit, "account", id, "database", o.database, "rate", account.Limit.Rate, "burst", account.Limit.Burst,
			"refused", verdict.Report, "comeBackIn", verdict.Wait.String(), "share", share, "borrows", borrows)
	}
	return verdict.Wait, verdict.Allowed
}

// Return gives back an operation. It implements group.Limiter.
func (o *ownership) Return(id types.AccountID) {
	directory, _ := o.node.limits.accounts()
	if account, known := directory.Account(id); known {
		o.ledger.Return(account)
	}
}

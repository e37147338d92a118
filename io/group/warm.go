package group

import (
	"cmp"
	"context"
	"slices"
	"time"

	"turmericpulley/core/acct"
	"turmericpulley/core/keep"
	"turmericpulley/core/types"
)

// warmPause is how long after a failed opening no further connections to the member are opened ahead.
const warmPause = time.Second

// warmer opens connections for accounts that have none yet, while members have spare slots, so that their statements need not wait for an
// opening. After a return of the whole fleet statements wait, and connections are opened for these first, in the order of the waiters.
type warmer struct {
	group *Group
	// directory is where accounts are from, which are in the order of their limits, the largest first.
	directory *acct.Directory
	accounts  []types.AccountID
}

func (w *warmer) run(ctx context.Context) {
	if w.group.settings.Accounts == nil {
		return
	}
	ticker := time.NewTicker(controllerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.warm(ctx)
		}
	}
}

// warm starts to open connections to each member that has spare slots.
func (w *warmer) warm(ctx context.Context) {
	g := w.group
	primary, active := g.scheduler.Primary()
	if g.draining.Load() || !active || !g.settings.Ownership.Lease().Valid() || !w.readAccounts() {
		return
	}
	var replicas []types.TargetID
	for _, m := range g.listMembers() {
		if m.Target != primary {
			replicas = append(replicas, m.Target)
		}
	}
	slices.Sort(replicas)
	for _, m := range g.listMembers() {
		p := g.pool(m.Target)
		if p == nil || m.Leaving || !g.scheduler.HasSpareSlots(m.Target) {
			continue
		}
		members, index := 1, 0
		if m.Target != primary {
			members, index = len(replicas), slices.Index(replicas, m.Target)
		}
		missing := p.startWarming(func(limit int) []types.AccountID { return keep.Plan(w.accounts, members, index, limit) })
		if len(missing) == 0 {
			continue
		}
		g.goroutines.Go(func() { g.warmMember(ctx, m.Target, p, missing) })
	}
}

// readAccounts reads the accounts when the configuration has changed, and reports whether there are any.
func (w *warmer) readAccounts() bool {
	directory := w.group.settings.Accounts()
	if directory == w.directory {
		return len(w.accounts) > 0
	}
	w.directory, w.accounts = directory, nil
	if directory == nil {
		return false
	}
	all := directory.All()
	slices.SortStableFunc(all, func(a, b acct.Account) int { return cmp.Compare(b.Limit.Rate, a.Limit.Rate) })
	for _, a := range all {
		w.accounts = append(w.accounts, a.ID)
	}
	return len(w.accounts) > 0
}

// startWarming returns the planned accounts that have no connection, as many as the pool keeps besides those that are open. Warming has
// begun when there are any.
func (p *pool) startWarming(plan func(limit int) []types.AccountID) []types.AccountID {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Clock.Now()
	limit := p.limit - p.successorReserve()
	free := limit - p.openCount()
	if p.closed || p.retired || p.warming || free <= 0 || now < p.warmAfter || p.room.IsBounded(now) {
		return nil
	}
	missing := slices.DeleteFunc(slices.Clone(plan(limit)), func(a types.AccountID) bool { return p.accounts[a] != nil })
	missing = missing[:min(free, len(missing))]
	p.warming = len(missing) > 0
	return missing
}

// warmMember opens connections for the accounts one after the other, while the member has spare slots.
func (g *Group) warmMember(ctx context.Context, target types.TargetID, p *pool, accounts []types.AccountID) {
	opened := 0
	var failure error
	for _, account := range accounts {
		if ctx.Err() != nil || g.draining.Load() || !g.scheduler.HasSpareSlots(target) {
			break
		}
		if !p.needsWarming(account) {
			continue
		}
		attempt, cancel := context.WithTimeout(ctx, probeTimeout)
		c, err := p.dial(attempt, account)
		cancel()
		if failure = err; err != nil {
			break
		}
		p.put(c)
		opened++
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warming = false
	if failure != nil {
		p.warmAfter = p.settings.Clock.Now().Add(warmPause)
	}
	p.tally.ahead += opened
}

// needsWarming reports whether the account still has no connection and there is room for one.
func (p *pool) needsWarming(account types.AccountID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && !p.retired && p.accounts[account] == nil && p.openCount() < p.limit-p.successorReserve()
}

// weight returns the account's part of the members in proportion to others: the rate of its limit, or zero when it has none.
func (g *Group) weight(account types.AccountID) float64 {
	if account == "" || g.settings.Accounts == nil {
		return 0
	}
	a, _ := g.settings.Accounts().Account(account)
	if a.Limit.Unlimited {
		return 0
	}
	return a.Limit.Rate
}

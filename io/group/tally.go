package group

import (
	"time"

	"turmericpulley/core/types"
)

// tallyInterval is the time between two log lines about the connections to a member.
const tallyInterval = 5 * time.Second

// connectionTally counts what became of the connections to a member since the last log line.
type connectionTally struct {
	// uses counts the statements and transactions that took a connection, waits those that found no idle one of their account, of which
	// unsettled had one that had not settled yet, and busy only ones in use.
	uses, waits, unsettled, busy int
	// displaced were closed for one of another account, surplus because there were too many, discarded after a failure, and dropped with
	// all idle ones. refused counts the openings that the member refused.
	displaced, surplus, discarded, dropped, refused int
	// ahead were opened before a statement asked for them.
	ahead int
}

// tallyOpening counts a statement that found no idle connection of its account.
func (p *pool) tallyOpening(account types.AccountID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tally.waits++
	if a := p.accounts[account]; a != nil && len(a.idle) > 0 {
		p.tally.unsettled++
	} else if a != nil {
		p.tally.busy++
	}
}

// logTally logs what became of the connections since the last call, if any was used.
func (p *pool) logTally() {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.tally
	p.tally = connectionTally{}
	if t == (connectionTally{}) {
		return
	}
	p.settings.Logger.Info("connections to member", "database", p.settings.Database, "member", p.member.Target, "idle", p.idleCount,
		"inUse", len(p.inUse), "accounts", len(p.accounts), "uses", t.uses, "waits", t.waits, "unsettled", t.unsettled, "busy", t.busy,
		"displaced", t.displaced, "surplus", t.surplus, "discarded", t.discarded, "dropped", t.dropped, "refused", t.refused, "ahead", t.ahead)
}

// logTallies logs the connections to all members, and whether statements waited for their account's share.
func (g *Group) logTallies() {
	accounts, over, behind := g.scheduler.Shares()
	if waited := int64(behind) - g.behindShare; waited > 0 {
		g.behindShare += waited
		g.settings.Counters.StatementsBehindShare.Add(waited)
		g.logger.Info("accounts waited behind their share", "statements", waited, "accounts", accounts, "over", over)
	}
	for _, m := range g.listMembers() {
		if p := g.pool(m.Target); p != nil {
			p.logTally()
		}
	}
}

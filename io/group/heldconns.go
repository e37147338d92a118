package group

import (
	"maps"
	"slices"

	"turmericpulley/core/types"
)

// AddConnections adds the number of connections to members that are held for each account; connections of no account are left out.
func (g *Group) AddConnections(held map[types.AccountID]int) {
	g.mu.Lock()
	pools := slices.Collect(maps.Values(g.pools))
	g.mu.Unlock()
	for _, p := range pools {
		p.addConnections(held)
	}
}

func (p *pool) addConnections(held map[types.AccountID]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for account, conns := range p.accounts {
		if account != "" {
			held[account] += len(conns.idle) + conns.inUse
		}
	}
}

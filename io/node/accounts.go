package node

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"turmericpulley/core/types"
	"turmericpulley/core/usage"
)

// AccountsPath is the path on the metrics address under which an instance shows what client accounts use, as JSON.
const AccountsPath = "/accounts"

// accountEntries returns what the client accounts use at this instance: the statements of its callers, and the connections to members that
// it holds as an owner.
func (n *Node) accountEntries() []usage.Entry {
	held := map[types.AccountID]int{}
	for _, o := range n.ownerships.all() {
		o.group.AddConnections(held)
	}
	entries := n.usage.Snapshot()
	for id, connections := range held {
		entries = append(entries, usage.Entry{Account: id, Connections: connections})
	}
	entries = usage.Largest(entries)
	directory, _ := n.limits.accounts()
	for i := range entries {
		if account, known := directory.Account(entries[i].Account); known && !account.Limit.Unlimited {
			entries[i].Rate, entries[i].Burst, entries[i].Limited = account.Limit.Rate, account.Limit.Burst, true
		}
	}
	return entries
}

// serveAccounts answers the operator's question what the client accounts use.
func (n *Node) serveAccounts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.accountEntries()); err != nil {
		n.logger.Debug("accounts not shown", "error", err)
	}
}

// all returns the ownerships of this instance.
func (m *ownershipManager) all() []*ownership {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Values(m.byDatabase))
}

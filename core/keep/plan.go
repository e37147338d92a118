package keep

import "turmericpulley/core/types"

// Plan returns the accounts for which a member is to have a connection before a statement asks for one, of which it takes limit. The accounts
// come in the order of their expected use. Members that serve the same statements number members, of which this one has the index.
//
// A single member has the first accounts. Of several, each has those that are used most, and the rest are divided, so that together they
// have as many accounts as possible: a read goes to a member with a connection of its account.
func Plan(accounts []types.AccountID, members, index, limit int) []types.AccountID {
	if limit <= 0 || members <= 0 {
		return nil
	}
	if members == 1 || len(accounts) <= limit {
		return accounts[:min(limit, len(accounts))]
	}
	common := max(0, (limit*members-len(accounts))/(members-1))
	planned := append([]types.AccountID(nil), accounts[:common]...)
	for i := common + index; i < len(accounts) && len(planned) < limit; i += members {
		planned = append(planned, accounts[i])
	}
	return planned
}

package front

import (
	"turmericpulley/core/acct"
	"turmericpulley/core/routes"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
)

const (
	// textUnknownKey refuses a caller whose key names no account. It does not repeat the key.
	textUnknownKey = "the key names no client account"
	// textNotProved refuses a caller whose key may have been withdrawn. Another instance may be able to tell.
	textNotProved = "this instance cannot prove at the moment that the key is in force; it has not run; come back at once, over a new connection"
)

// needsKey reports whether callers of the route need a key.
func needsKey(table *routes.Table, route routes.Route) bool {
	return table.Accounts != nil && !route.Public
}

// provedTable returns whether keys can be served, and the configuration in which to look them up; nil before the first. The proof is read
// first: looked up in an older configuration than the proof speaks of, a key that was withdrawn in between would count as proved.
func (s *Server) provedTable() (*routes.Table, bool) {
	proved := s.keysProved()
	return s.settings.Routes.Table(), proved
}

// identify returns the account that the key names; it is empty where callers need no key. The code is OK when the caller may use the
// route. The table and proved are those of provedTable.
func identify(table *routes.Table, proved bool, route routes.Route, key acct.Digest) (types.AccountID, stmt.Code, string) {
	if !needsKey(table, route) {
		return "", stmt.OK, ""
	}
	account, known := table.Accounts.Identify(key)
	switch {
	case !proved:
		return "", stmt.Overloaded, textNotProved
	case !known:
		return "", stmt.Unauthorised, textUnknownKey
	default:
		return account, stmt.OK, ""
	}
}

func (s *Server) keysProved() bool { return s.settings.KeysProved == nil || s.settings.KeysProved() }

// lacksProof reports whether callers of the route need a key and no key can be served now.
func (s *Server) lacksProof(name routes.Name) bool {
	if s.keysProved() {
		return false
	}
	table := s.settings.Routes.Table()
	return table != nil && needsKey(table, table.Routes[name])
}

// checkAccount checks that the key of the open transaction still names the account under which the transaction began. Otherwise it rolls
// the transaction back and returns false and the reply for the caller.
func (s *session) checkAccount(statement stmt.Statement) (stmt.Reply, bool) {
	table, proved := s.server.provedTable()
	account, code, text := identify(table, proved, s.route, s.key)
	if code == stmt.OK && account != s.account {
		code, text = stmt.RolledBack, "the key was given to another client account"
	}
	if code == stmt.OK {
		return stmt.Reply{}, true
	}
	if code == stmt.Overloaded {
		code = stmt.RolledBack
	}
	r := s.fail(code, text+"; the transaction was rolled back")
	if statement.Kind == stmt.Commit {
		s.state = stmt.Idle
	}
	return r, false
}

package acct

import "turmericpulley/core/types"

// Limit is how many operations an account may send in all, to all databases through all instances. The zero value allows none.
type Limit struct {
	// Unlimited marks an account without a limit; the other fields then mean nothing.
	Unlimited bool
	// Rate is the number of operations a second, Burst the number that may come at once beyond it.
	Rate  float64
	Burst float64
}

// Account is one client account.
type Account struct {
	ID    types.AccountID
	Limit Limit
	// Priority is what the operator wrote; nothing depends on it, because the priority of a route says how important its statements are.
	Priority int
}

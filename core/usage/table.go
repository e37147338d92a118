package usage

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"turmericpulley/core/types"
)

const (
	// MaxTracked is the largest number of accounts that an instance counts apart; further ones are counted together. A count takes about
	// 200 bytes.
	MaxTracked = 512
	// MaxShown is the largest number of accounts in a snapshot. The rest is one entry, so that the number of series stays small.
	MaxShown = 64
	// Rest names the entry of the accounts that are not told apart.
	Rest types.AccountID = "(rest)"
)

// Bounds are the upper bounds of the latency histogram's buckets; the last bucket has none.
var Bounds = [...]time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond,
}

// Outcome says how a statement of an account ended.
type Outcome int

// Outcomes of statements. OverLimit is a refusal because the account is over its limit, and NotProved one because the account's key may
// have been withdrawn.
const (
	Answered Outcome = iota
	Failed
	OverLimit
	NotProved
	outcomes
)

// Count is what an account has used.
type Count struct {
	// Outcomes are the statements by Outcome.
	Outcomes [outcomes]uint64 `json:"outcomes"`
	// Buckets are the statements by latency, and Seconds the sum of the latencies. What was refused for the limit or the key is not in it.
	Buckets [len(Bounds) + 1]uint64 `json:"buckets"`
	Seconds float64                 `json:"seconds"`
}

// Entry is the count of one account.
type Entry struct {
	Account types.AccountID `json:"account"`
	Count
	// Rate, Burst and Limited are the account's limit, where it has one and it is known.
	Rate    float64 `json:"rate"`
	Burst   float64 `json:"burst"`
	Limited bool    `json:"limited"`
	// Connections is the number of connections to members that the instance holds for the account.
	Connections int `json:"connections"`
}

// Table counts the statements of accounts; it is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	accounts map[types.AccountID]*Count
	rest     Count
}

// NewTable returns a table without counts.
func NewTable() *Table { return &Table{accounts: map[types.AccountID]*Count{}} }

// Record counts one statement.
func (t *Table) Record(account types.AccountID, outcome Outcome, elapsed time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.accounts[account]
	switch {
	case c != nil:
	case len(t.accounts) >= MaxTracked:
		c = &t.rest
	default:
		c = &Count{}
		t.accounts[account] = c
	}
	c.Outcomes[outcome]++
	if outcome == Answered || outcome == Failed {
		bucket, _ := slices.BinarySearch(Bounds[:], elapsed)
		c.Buckets[bucket]++
		c.Seconds += elapsed.Seconds()
	}
}

// Snapshot returns the counts of the accounts with the most statements, and the rest as one entry.
func (t *Table) Snapshot() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := make([]Entry, 0, len(t.accounts)+1)
	for id, c := range t.accounts {
		entries = append(entries, Entry{Account: id, Count: *c})
	}
	if t.rest.Total() > 0 {
		entries = append(entries, Entry{Account: Rest, Count: t.rest})
	}
	return Largest(entries)
}

// Largest adds up the entries by account, and returns MaxShown of them, those with the most statements first, with the others as the last
// one.
func Largest(entries []Entry) []Entry {
	byAccount := make(map[types.AccountID]Entry, len(entries))
	rest := Entry{Account: Rest}
	for _, e := range entries {
		if e.Account == Rest {
			rest = rest.plus(e)
		} else {
			byAccount[e.Account] = byAccount[e.Account].plus(e)
		}
	}
	shown := make([]Entry, 0, len(byAccount)+1)
	for _, e := range byAccount {
		shown = append(shown, e)
	}
	slices.SortFunc(shown, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Total(), a.Total()), cmp.Compare(b.Connections, a.Connections), cmp.Compare(a.Account, b.Account))
	})
	for len(shown) > MaxShown {
		rest = rest.plus(shown[len(shown)-1])
		shown = shown[:len(shown)-1]
	}
	rest.Account, rest.Limited = Rest, false
	if rest.Total() > 0 || rest.Connections > 0 {
		shown = append(shown, rest)
	}
	return shown
}

// Total returns the number of statements.
func (c Count) Total() uint64 {
	total := uint64(0)
	for _, n := range c.Outcomes {
		total += n
	}
	return total
}

// Quantile returns an upper bound of the latency below which the part of the statements lies. It is zero without statements, and twice the
// last bound where the latency lies beyond that.
func (c Count) Quantile(part float64) time.Duration {
	total := uint64(0)
	for _, n := range c.Buckets {
		total += n
	}
	if total == 0 {
		return 0
	}
	below := uint64(0)
	for i, bound := range Bounds {
		if below += c.Buckets[i]; float64(below) >= part*float64(total) {
			return bound
		}
	}
	return 2 * Bounds[len(Bounds)-1]
}

// plus returns the sum of two entries; the limit is that of the second where it has one.
func (e Entry) plus(other Entry) Entry {
	for i, n := range e.Outcomes {
		other.Outcomes[i] += n
	}
	for i, n := range e.Buckets {
		other.Buckets[i] += n
	}
	other.Seconds += e.Seconds
	other.Connections += e.Connections
	if !other.Limited {
		other.Rate, other.Burst, other.Limited = e.Rate, e.Burst, e.Limited
	}
	return other
}

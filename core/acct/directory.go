package acct

import (
	"maps"
	"slices"
	"strconv"

	"turmericpulley/core/types"
)

// Directory finds accounts by their keys; it is built by Add and immutable afterwards.
type Directory struct {
	accounts map[types.AccountID]Account
	holders  map[Digest]types.AccountID
	// ambiguous are the keys that more than one account lists; they name none.
	ambiguous map[Digest]bool
	problems  []string
}

// NewDirectory returns a directory without accounts.
func NewDirectory() *Directory {
	return &Directory{accounts: map[types.AccountID]Account{}, holders: map[Digest]types.AccountID{}, ambiguous: map[Digest]bool{}}
}

// Add adds an account with the digests of its keys. Of two accounts with one name the first counts, and the keys of the other name
// nobody, like a key that two accounts list.
func (d *Directory) Add(a Account, keys []Digest) {
	if _, known := d.accounts[a.ID]; known {
		d.problems = append(d.problems, "two accounts have the name "+strconv.Quote(string(a.ID))+"; the first counts")
		return
	}
	d.accounts[a.ID] = a
	for _, key := range keys {
		holder, held := d.holders[key]
		switch {
		case d.ambiguous[key]:
		case held && holder != a.ID:
			d.problems = append(d.problems, "the accounts "+strconv.Quote(string(holder))+" and "+strconv.Quote(string(a.ID))+
				" list the same key; it names neither")
			d.ambiguous[key] = true
			delete(d.holders, key)
		default:
			d.holders[key] = a.ID
		}
	}
}

// Report adds a problem that was found in the configuration of the accounts.
func (d *Directory) Report(problem string) { d.problems = append(d.problems, problem) }

// Identify returns the account that the key names, and whether there is one.
func (d *Directory) Identify(key Digest) (types.AccountID, bool) {
	id, known := d.holders[key]
	return id, known
}

// Account returns the account with the id, and whether there is one.
func (d *Directory) Account(id types.AccountID) (Account, bool) {
	if d == nil {
		return Account{}, false
	}
	a, known := d.accounts[id]
	return a, known
}

// All returns the accounts by id.
func (d *Directory) All() []Account {
	all := make([]Account, 0, len(d.accounts))
	for _, id := range slices.Sorted(maps.Keys(d.accounts)) {
		all = append(all, d.accounts[id])
	}
	return all
}

// Problems returns what is wrong with the configuration of the accounts; nothing when the directory is nil.
func (d *Directory) Problems() []string {
	if d == nil {
		return nil
	}
	return d.problems
}

// Len returns the number of accounts, zero when the directory is nil.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.accounts)
}

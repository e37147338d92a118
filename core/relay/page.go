package relay

import "turmericpulley/core/types"

// Page is the answer to a listing of the store: the entries that changed and the revision of the store.
type Page struct {
	Revision types.Revision
	Entries  []Entry
}

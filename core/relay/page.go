package relay

import "turmericpulley/core/types"

// Page is the answer to a listing of the store: the entries changed and the store's revision.
type Page struct {
	Revision types.Revision
	Entries  []Entry
}

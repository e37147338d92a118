package relay

import "turmericpulley/core/types"

// Entry is one version of a key in the store; a deletion is a version too.
type Entry struct {
	Key      string         `json:"key"`
	Value    []byte         `json:"value"`
	Revision types.Revision `json:"revision"`
	Deleted  bool           `json:"deleted"`
}

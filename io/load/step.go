package load

import "turmericpulley/core/audit"

// step is one statement of a request.
type step struct {
	table table
	id    string
	kind  audit.Kind
	value audit.Value
}

// key returns the key under which the history records the step's row.
func (s step) key() audit.Key { return audit.Key(string(s.table) + "/" + s.id) }

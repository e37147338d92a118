package load

import "turmericpulley/core/audit"

// step is one statement of a request.
type step struct {
	table table
	id    string
	kind  audit.Kind
	value audit.Value
}

// key returns the key of the step's row in the history.
func (s step) key() audit.Key { return audit.Key(string(s.table) + "/" + s.id) }

package front

import (
	"maps"

	"turmericpulley/core/budget"
)

const (
	// maxHeldBytes bounds what a session holds for its caller: the names, values and shapes together, with heldEntryBytes for each value
	// and each prepared statement.
	maxHeldBytes = 1 << 20
	// heldEntryBytes is what an entry takes besides its texts, the statement that sets it on members included.
	heldEntryBytes = 256
)

// heldState are the values and the prepared statements of a session. A change beyond maxHeldBytes is refused and changes nothing.
type heldState struct {
	values   map[string]string
	prepared map[string]preparedStatement
	bytes    int
	// holder counts the bytes in the instance's budget; refusedByBudget is set when it had no room for the newest change.
	holder          *budget.Holder
	refusedByBudget bool
	// valuesShared is set when sharedValues was called since the last change: others may read the map.
	valuesShared bool
}

func newHeldState(holder *budget.Holder) heldState {
	return heldState{holder: holder, values: map[string]string{}, prepared: map[string]preparedStatement{}}
}

// sharedValues returns the values. The map does not change any more.
func (h *heldState) sharedValues() map[string]string {
	h.valuesShared = true
	return h.values
}

// setValue sets a value and reports whether there was room for it.
func (h *heldState) setValue(name, value string) bool {
	former, known := h.values[name]
	if !h.resize(known, len(name)+len(former), len(name)+len(value)) {
		return false
	}
	if h.valuesShared {
		h.values, h.valuesShared = maps.Clone(h.values), false
	}
	h.values[name] = value
	return true
}

// prepare prepares a statement under a name and reports whether there was room for it.
func (h *heldState) prepare(name string, p preparedStatement) bool {
	former, known := h.prepared[name]
	if !h.resize(known, len(name)+len(former.shape), len(name)+len(p.shape)) {
		return false
	}
	h.prepared[name] = p
	return true
}

// deallocate drops the statement that is prepared under a name, if there is one.
func (h *heldState) deallocate(name string) {
	if former, known := h.prepared[name]; known {
		h.bytes -= heldEntryBytes + len(name) + len(former.shape)
		delete(h.prepared, name)
		h.holder.Take(budget.State, budget.Bytes(h.bytes))
	}
}

// resize counts an entry whose texts take size bytes, in place of a known one of the former size. It reports whether there is room.
func (h *heldState) resize(known bool, former, size int) bool {
	bytes := h.bytes + heldEntryBytes + size
	if known {
		bytes -= heldEntryBytes + former
	}
	h.refusedByBudget = false
	if bytes > maxHeldBytes && bytes > h.bytes {
		return false
	}
	if !h.holder.Take(budget.State, budget.Bytes(bytes)) {
		h.refusedByBudget = true
		return false
	}
	h.bytes = bytes
	return true
}

package audit

import "turmericpulley/core/types"

// writer returns the session of the row's first write.
func (h rowHistory) writer() types.SessionName {
	for _, o := range h.operations {
		if o.writes() {
			return o.Session
		}
	}
	return ""
}

// singleWriter reports whether one session alone writes the row.
func (h rowHistory) singleWriter() bool {
	first := h.writer()
	for _, o := range h.operations {
		if o.writes() && o.Session != first {
			return false
		}
	}
	return true
}

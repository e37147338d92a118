package audit

import "turmericpulley/core/types"

// firstWriter returns the session of the row's first write.
func (h rowHistory) firstWriter() types.SessionName {
	for _, o := range h.operations {
		if o.isWrite() {
			return o.Session
		}
	}
	return ""
}

// hasSingleWriter reports whether only one session writes the row.
func (h rowHistory) hasSingleWriter() bool {
	first := h.firstWriter()
	for _, o := range h.operations {
		if o.isWrite() && o.Session != first {
			return false
		}
	}
	return true
}

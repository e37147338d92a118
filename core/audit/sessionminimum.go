package audit

// sessionMinimum is the lowest value that a session may read from a row after its own writes and reads.
type sessionMinimum struct {
	counter Value
	version Value
}

func newSessionMinimum(start Value) *sessionMinimum { return &sessionMinimum{counter: start} }

// observe raises the minimum by an operation of the session that has returned.
func (m *sessionMinimum) observe(o Operation) {
	switch o.Kind {
	case Increment:
		m.counter += o.Value
	case Insert, Write, Read:
		m.version = max(m.version, o.Value)
	}
}

// value returns the present minimum.
func (m *sessionMinimum) value() Value { return max(m.counter, m.version) }

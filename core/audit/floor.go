package audit

// sessionMinimum is the lowest value that a session may read from a row.
type sessionMinimum struct {
	counter Value
	version Value
}

func newSessionMinimum(start Value) *sessionMinimum { return &sessionMinimum{counter: start} }

// observe raises the floor by an operation of the session that has returned.
func (f *sessionMinimum) observe(o Operation) {
	switch o.Kind {
	case Increment:
		f.counter += o.Value
	case Insert, Write, Read:
		f.version = max(f.version, o.Value)
	}
}

// value returns the floor.
func (f *sessionMinimum) value() Value { return max(f.counter, f.version) }

package audit

// sessionFloor is the lowest value that a session may read from a row.
type sessionFloor struct {
	counter Value
	version Value
}

func newSessionFloor(start Value) *sessionFloor { return &sessionFloor{counter: start} }

// observe raises the floor by an operation of the session that has returned.
func (f *sessionFloor) observe(o Operation) {
	switch o.Kind {
	case Increment:
		f.counter += o.Value
	case Insert, Write, Read:
		f.version = max(f.version, o.Value)
	}
}

// value returns the floor.
func (f *sessionFloor) value() Value { return max(f.counter, f.version) }

package audit

// keyState is what a database knows about one request key.
type keyState struct {
	executed bool
	// valueKnown reports whether a caller has seen the value.
	valueKnown bool
	value      Value
}

// executedWith returns the state after a request that answered with the value.
func (s keyState) executedWith(value Value) []any {
	if s.valueKnown && s.value != value {
		return nil
	}
	return []any{keyState{executed: true, valueKnown: true, value: value}}
}

// executedWithoutResponse returns the state after a request whose answer was lost.
func (s keyState) executedWithoutResponse() keyState {
	s.executed = true
	return s
}

// unchangedIf returns the unchanged state if the answer fits it.
func (s keyState) unchangedIf(fits bool) []any {
	if fits {
		return []any{s}
	}
	return nil
}

func (s keyState) effectCount() int {
	if s.executed {
		return 1
	}
	return 0
}

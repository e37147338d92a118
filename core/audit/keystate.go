package audit

// keyState is the state of one request key in the model of AtMostOnce.
type keyState struct {
	executed bool
	// valueKnown reports whether a caller received the value; every later response must carry the same one.
	valueKnown bool
	value      Value
}

// executedWith returns the state after a response with the value; none if an earlier response contained another value.
func (s keyState) executedWith(value Value) []any {
	if s.valueKnown && s.value != value {
		return nil
	}
	return []any{keyState{executed: true, valueKnown: true, value: value}}
}

// executedWithoutResponse returns the state after a request that ran and whose response was lost.
func (s keyState) executedWithoutResponse() keyState {
	s.executed = true
	return s
}

// unchangedIf returns the unchanged state if the response is possible in it, and none otherwise.
func (s keyState) unchangedIf(possible bool) []any {
	if possible {
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

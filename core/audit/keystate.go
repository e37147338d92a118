package audit

// keyState is what a database knows about one request key.
type keyState struct {
	ran bool
	// seen reports whether a caller has seen the value.
	seen  bool
	value Value
}

// run returns the state after a request that answered with the value.
func (s keyState) run(value Value) []any {
	if s.seen && s.value != value {
		return nil
	}
	return []any{keyState{ran: true, seen: true, value: value}}
}

// runUnseen returns the state after a request whose answer was lost.
func (s keyState) runUnseen() keyState {
	s.ran = true
	return s
}

// when returns the unchanged state if the answer fits it.
func (s keyState) when(fits bool) []any {
	if fits {
		return []any{s}
	}
	return nil
}

func (s keyState) effects() int {
	if s.ran {
		return 1
	}
	return 0
}

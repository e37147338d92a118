package fakedb

// slots bounds how many statements run at once; waiting statements are served in order.
type slots struct {
	free chan struct{}
}

// newSlots returns a bound of count; 0 means none.
func newSlots(count int) slots {
	if count <= 0 {
		return slots{}
	}
	return slots{free: make(chan struct{}, count)}
}

// release gives a slot back.
func (l slots) release() {
	if l.free != nil {
		<-l.free
	}
}

// acquire waits for a slot until the session is interrupted.
func (l slots) acquire(s *session) error {
	if l.free == nil {
		return nil
	}
	select {
	case l.free <- struct{}{}:
		return nil
	default:
	}
	select {
	case l.free <- struct{}{}:
		return nil
	case <-s.done:
		return s.endReason()
	case <-s.cancelled:
		return errCancelled
	}
}

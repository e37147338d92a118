package fakedb

// slots limits the number of statements that run at once. Waiting statements get a slot in the order of their arrival.
type slots struct {
	free chan struct{}
}

// newSlots returns a limit of count statements; 0 means no limit.
func newSlots(count int) slots {
	if count <= 0 {
		return slots{}
	}
	return slots{free: make(chan struct{}, count)}
}

// release returns a slot.
func (l slots) release() {
	if l.free != nil {
		<-l.free
	}
}

// acquire waits for a slot; it returns an error when the session is terminated or cancelled meanwhile.
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

package fakedb

// slots limits the number of statements that run at once. Waiting statements get a slot in the order of their arrival.
type slots struct {
	// inUse holds one element for each slot that is taken; nil means no limit.
	inUse chan struct{}
}

// newSlots returns a limit of count statements; 0 means no limit.
func newSlots(count int) slots {
	if count <= 0 {
		return slots{}
	}
	return slots{inUse: make(chan struct{}, count)}
}

// release frees a slot.
func (l slots) release() {
	if l.inUse != nil {
		<-l.inUse
	}
}

// acquire waits for a slot; it returns an error when the session is terminated or cancelled meanwhile.
func (l slots) acquire(s *session) error {
	if l.inUse == nil {
		return nil
	}
	select {
	case l.inUse <- struct{}{}:
		return nil
	default:
	}
	select {
	case l.inUse <- struct{}{}:
		return nil
	case <-s.done:
		return s.endReason()
	case <-s.cancelled:
		return errCancelled
	}
}

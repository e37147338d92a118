package fakedb

// signal wakes all goroutines that wait for the next change; the member's lock guards it.
type signal struct {
	channel chan struct{}
}

// wait returns a channel that is closed at the next change.
func (s *signal) wait() <-chan struct{} {
	if s.channel == nil {
		s.channel = make(chan struct{})
	}
	return s.channel
}

// broadcast reports a change.
func (s *signal) broadcast() {
	if s.channel != nil {
		close(s.channel)
		s.channel = nil
	}
}

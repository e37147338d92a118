package fakepl

// ForceStatus makes the store respond to every request except promote with the status; 0 restores normal operation.
func (s *Store) ForceStatus(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forcedStatus = status
	s.wake()
}

// RefuseWrites makes the store refuse transactions with status 503. Reads work as before.
func (s *Store) RefuseWrites(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readOnly = refuse
}

// LoseResponses makes transactions take effect without a response; the connection is closed instead.
func (s *Store) LoseResponses(lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseResponses = lose
}

// WithholdResponses makes transactions take effect without a response; the connection stays open.
func (s *Store) WithholdResponses(withhold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withholdResponses = withhold
}

// Compact drops the history. Watches from an earlier revision get status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision, s.history = s.revision, nil
	s.wake()
}

package fakedb

// advisoryLock is a lock that a session takes by number; it may take it several times.
type advisoryLock struct {
	owner    *session
	depth    int
	released chan struct{}
}

// lockAdvisory takes an advisory lock; the caller holds the member's lock.
func (s *session) lockAdvisory(number int64) error {
	for {
		held := s.m.advisoryLocks[number]
		if held == nil {
			held = &advisoryLock{owner: s, released: make(chan struct{})}
			s.m.advisoryLocks[number] = held
			s.advisory[number] = struct{}{}
		}
		if held.owner == s {
			held.depth++
			return nil
		}
		if err := s.awaitLock(nil, held.released); err != nil {
			return err
		}
	}
}

// unlockAdvisory gives an advisory lock back once and reports whether it was held; the caller holds the member's lock.
func (s *session) unlockAdvisory(number int64) bool {
	held := s.m.advisoryLocks[number]
	if held == nil || held.owner != s {
		return false
	}
	held.depth--
	if held.depth == 0 {
		s.dropAdvisory(number)
	}
	return true
}

// releaseAdvisory gives all advisory locks back; the caller holds the member's lock.
func (s *session) releaseAdvisory() {
	for number := range s.advisory {
		s.dropAdvisory(number)
	}
}

func (s *session) dropAdvisory(number int64) {
	close(s.m.advisoryLocks[number].released)
	delete(s.m.advisoryLocks, number)
	delete(s.advisory, number)
}

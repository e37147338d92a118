package fakedb

// advisoryLock is a lock on a number instead of a row. Its owner may take it several times; depth is the number of times.
type advisoryLock struct {
	owner    *session
	depth    int
	released chan struct{}
}

// lockAdvisory takes an advisory lock, and waits while another session owns it; the caller holds the member's lock.
func (s *session) lockAdvisory(number int64) error {
	for {
		lock := s.m.advisoryLocks[number]
		if lock == nil {
			lock = &advisoryLock{owner: s, released: make(chan struct{})}
			s.m.advisoryLocks[number] = lock
			s.advisory[number] = struct{}{}
		}
		if lock.owner == s {
			lock.depth++
			return nil
		}
		if err := s.awaitLock(nil, lock.released); err != nil {
			return err
		}
	}
}

// unlockAdvisory undoes one lockAdvisory. It reports false when the session does not own the lock. The caller holds the
// member's lock.
func (s *session) unlockAdvisory(number int64) bool {
	lock := s.m.advisoryLocks[number]
	if lock == nil || lock.owner != s {
		return false
	}
	lock.depth--
	if lock.depth == 0 {
		s.dropAdvisory(number)
	}
	return true
}

// releaseAllAdvisory releases all advisory locks of the session; the caller holds the member's lock.
func (s *session) releaseAllAdvisory() {
	for number := range s.advisory {
		s.dropAdvisory(number)
	}
}

// dropAdvisory releases one advisory lock, whatever its depth, and wakes the sessions that wait for it; the caller holds the
// member's lock.
func (s *session) dropAdvisory(number int64) {
	close(s.m.advisoryLocks[number].released)
	delete(s.m.advisoryLocks, number)
	delete(s.advisory, number)
}

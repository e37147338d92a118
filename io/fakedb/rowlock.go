package fakedb

import "time"

// rowKey names a row of a table.
type rowKey struct {
	table string
	key   string
}

// rowLock is held by the transaction that wrote the row.
type rowLock struct {
	owner    *transaction
	released chan struct{}
}

// lockRow takes the lock of a row for the open transaction, waiting without a slot; the caller holds the member's lock.
func (s *session) lockRow(key rowKey) error {
	m := s.m
	timer := time.NewTimer(m.settings.LockTimeout)
	defer timer.Stop()
	for {
		tx := s.ensureTransaction()
		held := m.locks[key]
		if held == nil {
			m.locks[key] = &rowLock{owner: tx, released: make(chan struct{})}
			tx.locked[key] = struct{}{}
			return nil
		}
		if held.owner == tx {
			return nil
		}
		if err := s.awaitLock(timer.C, held.released); err != nil {
			return err
		}
	}
}

// awaitLock gives lock and slot up until a lock is released; both are held again afterwards.
func (s *session) awaitLock(timer <-chan time.Time, released <-chan struct{}) error {
	m := s.m
	m.mu.Unlock()
	m.slots.release()
	err := s.awaitRelease(timer, released)
	if slotErr := m.slots.acquire(s); slotErr != nil {
		s.slotLost = true
		err = slotErr
	}
	m.mu.Lock()
	if s.endErr != nil {
		return s.endErr
	}
	return err
}

func (s *session) awaitRelease(timer <-chan time.Time, released <-chan struct{}) error {
	select {
	case <-released:
		return nil
	case <-timer:
		return fail(stateLockNotAvailable, "canceling statement due to lock timeout")
	case <-s.done:
		return s.endReason()
	case <-s.cancelled:
		return errCancelled
	}
}

// unlockRow gives up one lock of a transaction; the caller holds the member's lock.
func (m *Member) unlockRow(tx *transaction, key rowKey) {
	if held := m.locks[key]; held != nil && held.owner == tx {
		close(held.released)
		delete(m.locks, key)
	}
	delete(tx.locked, key)
}

// unlockRows gives up all locks of a transaction; the caller holds the member's lock.
func (m *Member) unlockRows(tx *transaction) {
	for key := range tx.locked {
		m.unlockRow(tx, key)
	}
}

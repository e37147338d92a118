package fakedb

import "time"

// rowKey identifies a row of a table.
type rowKey struct {
	table string
	key   string
}

// rowLock is the lock of a row; its owner is the transaction that writes the row.
type rowLock struct {
	owner    *transaction
	released chan struct{}
}

// lockRow takes the lock of a row for the open transaction. While another transaction owns it, lockRow waits for at most
// LockTimeout and holds no slot. The caller holds the member's lock.
func (s *session) lockRow(key rowKey) error {
	m := s.m
	timer := time.NewTimer(m.settings.LockTimeout)
	defer timer.Stop()
	for {
		tx := s.ensureTransaction()
		lock := m.locks[key]
		if lock == nil {
			m.locks[key] = &rowLock{owner: tx, released: make(chan struct{})}
			tx.locked[key] = struct{}{}
			return nil
		}
		if lock.owner == tx {
			return nil
		}
		if err := s.awaitLock(timer.C, lock.released); err != nil {
			return err
		}
	}
}

// awaitLock waits until a lock is released. It releases the member's lock and the slot for that time and takes both again
// afterwards. It sets slotLost when the session ends or is cancelled before a slot is free again.
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

// awaitRelease waits until a lock is released, the timer fires, or the session ends or is cancelled.
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

// unlockRow releases one row lock of a transaction; the caller holds the member's lock.
func (m *Member) unlockRow(tx *transaction, key rowKey) {
	if lock := m.locks[key]; lock != nil && lock.owner == tx {
		close(lock.released)
		delete(m.locks, key)
	}
	delete(tx.locked, key)
}

// unlockRows releases all row locks of a transaction; the caller holds the member's lock.
func (m *Member) unlockRows(tx *transaction) {
	for key := range tx.locked {
		m.unlockRow(tx, key)
	}
}

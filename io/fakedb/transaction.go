package fakedb

import (
	"time"

	"turmericpulley/io/fakedb/syntax"
)

// transaction is the open transaction of one session; the member's lock guards it.
type transaction struct {
	// explicit is true in a transaction block, between BEGIN and COMMIT or ROLLBACK.
	explicit   bool
	failed     bool
	access     syntax.AccessMode
	writeOrder []rowKey
	writes     map[rowKey]change
	locked     map[rowKey]struct{}
}

func newTransaction() *transaction {
	return &transaction{writes: map[rowKey]change{}, locked: map[rowKey]struct{}{}}
}

func (t *transaction) write(c change) {
	key := rowKey{c.Table, c.Key}
	if _, ok := t.writes[key]; !ok {
		t.writeOrder = append(t.writeOrder, key)
	}
	t.writes[key] = c
}

// changes returns the last change of each written row, in the order of the first writes.
func (t *transaction) changes() []change {
	list := make([]change, len(t.writeOrder))
	for i, key := range t.writeOrder {
		list[i] = t.writes[key]
	}
	return list
}

// ensureTransaction returns the open transaction, and opens an implicit one when there is none; the caller holds the lock.
func (s *session) ensureTransaction() *transaction {
	if s.tx == nil {
		s.tx = newTransaction()
	}
	return s.tx
}

// abort discards the writes of the open transaction and releases its row locks; the caller holds the lock.
func (s *session) abort() {
	if s.tx == nil {
		return
	}
	s.m.unlockRows(s.tx)
	s.tx.writeOrder = nil
	s.tx.writes = map[rowKey]change{}
}

// failTransaction aborts the open transaction after an error. A transaction block stays open until COMMIT or ROLLBACK.
func (s *session) failTransaction() {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	if s.tx == nil {
		return
	}
	s.abort()
	if s.tx.explicit {
		s.tx.failed = true
		return
	}
	s.tx = nil
	s.settings.rollback()
}

// commitImplicit commits the open transaction unless it is a transaction block.
func (s *session) commitImplicit() error {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	if s.tx == nil || s.tx.explicit {
		return nil
	}
	return s.commit()
}

// commit appends the writes of the open transaction as one log entry and ends it; the caller holds the lock.
func (s *session) commit() error {
	if s.endErr != nil {
		return s.endErr
	}
	tx := s.tx
	if len(tx.writeOrder) > 0 {
		if s.m.role != Primary {
			return errReadOnly("COMMIT")
		}
		if err := s.m.append(tx.changes()); err != nil {
			return err
		}
	}
	s.m.unlockRows(tx)
	s.tx = nil
	s.settings.commit()
	return nil
}

// append appends a log entry on the primary and makes it visible; the caller holds the lock.
func (m *Member) append(changes []change) error {
	e := entry{
		Position:   m.log.lastPosition() + 1,
		Term:       m.durable.Term,
		AppendedAt: time.Now().UnixNano(),
		Changes:    changes,
	}
	if err := m.journal.write(record{Entry: &e}); err != nil {
		return err
	}
	m.log.append(e)
	m.tables.apply(changes)
	m.applied = e.Position
	m.updateCommitted()
	m.changed.broadcast()
	return nil
}

func errReadOnly(command string) error {
	return fail(stateReadOnly, "cannot execute "+command+" in a read-only transaction")
}

package fakedb

import "time"

// receiveAndApply receives and applies replicated entries once their lags have passed, until the member closes.
func (m *Member) receiveAndApply() {
	for {
		changed, due, waiting := m.processDue()
		if !waiting {
			select {
			case <-changed:
				continue
			case <-m.closing:
				return
			}
		}
		timer := time.NewTimer(time.Until(due))
		select {
		case <-changed:
		case <-timer.C:
		case <-m.closing:
		}
		timer.Stop()
		select {
		case <-m.closing:
			return
		default:
		}
	}
}

// processDue receives and applies the entries that are due. When entries remain that are not due yet, it reports waiting and
// returns the time at which the next of them is due. The channel is closed at the next change of the member.
func (m *Member) processDue() (changed <-chan struct{}, due time.Time, waiting bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role != Replica || m.closed {
		return m.changed.wait(), time.Time{}, false
	}
	now := time.Now()
	if m.receiveDue(now) {
		m.changed.broadcast()
	}
	if m.applyDue(now) {
		m.changed.broadcast()
	}
	if m.applied < m.log.lastPosition() {
		due, waiting = m.log.entries[m.applied].receivedAt.Add(m.delays.apply), true
	}
	if len(m.upstream.pending) > 0 {
		receiveAt := m.upstream.pending[0].dueAt(m.delays.receive)
		if !waiting || receiveAt.Before(due) {
			due, waiting = receiveAt, true
		}
	}
	return m.changed.wait(), due, waiting
}

// dueAt returns the time at which an entry is received under a receive lag.
func (e entry) dueAt(lag time.Duration) time.Time {
	return time.Unix(0, e.AppendedAt).Add(lag)
}

// receiveDue moves the pending entries that are due into the log and reports whether it moved any. When it cannot write the
// state file, it closes the replication connection instead, and the pending entries are dropped. The caller holds the lock.
func (m *Member) receiveDue(now time.Time) bool {
	count := 0
	for count < len(m.upstream.pending) && !m.upstream.pending[count].dueAt(m.delays.receive).After(now) {
		count++
	}
	if count == 0 {
		return false
	}
	batch := m.upstream.pending[:count]
	records := make([]record, count)
	for i := range batch {
		batch[i].receivedAt = now
		records[i] = record{Entry: &batch[i]}
	}
	if err := m.journal.write(records...); err != nil {
		m.logger.Error("closing the replication connection", "target", m.settings.ID, "error", err)
		m.upstream.disconnect()
		return false
	}
	m.log.entries = append(m.log.entries, batch...)
	m.upstream.pending = m.upstream.pending[count:]
	return true
}

// applyDue makes the received entries that are due visible and reports whether there were any; the caller holds the lock.
func (m *Member) applyDue(now time.Time) bool {
	before := m.applied
	for m.applied < m.log.lastPosition() {
		e := &m.log.entries[m.applied]
		if e.receivedAt.Add(m.delays.apply).After(now) {
			break
		}
		m.tables.apply(e.Changes)
		m.applied = e.Position
	}
	return m.applied > before
}

// applyAll makes all received entries visible at once; the caller holds the lock.
func (m *Member) applyAll() {
	for m.applied < m.log.lastPosition() {
		e := &m.log.entries[m.applied]
		m.tables.apply(e.Changes)
		m.applied = e.Position
	}
}

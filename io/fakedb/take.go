package fakedb

import (
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

// discardAfter drops the entries that the primary does not have and counts them.
func (l *logReceiver) discardAfter(match types.Position) error {
	m := l.m
	m.mu.Lock()
	defer m.mu.Unlock()
	if !l.stillFollowing() {
		return errStaleReceiver
	}
	m.upstream.lastContact = time.Now()
	last := m.log.last()
	if match >= last {
		return nil
	}
	next := m.durable
	next.Discarded += uint64(last - match)
	if err := m.journal.write(record{Truncate: &match}, record{Durable: &next}); err != nil {
		return err
	}
	m.durable = next
	m.log.truncate(match)
	if m.applied > match {
		m.applied = match
		m.tables = rebuildTables(m.log.entries)
	}
	m.logger.Warn("log entries discarded", "target", m.settings.ID, "after", match, "count", last-match)
	m.changed.broadcast()
	return nil
}

// enqueue keeps delivered entries until their lag is over.
func (l *logReceiver) enqueue(d primaryMessage) error {
	m := l.m
	m.mu.Lock()
	defer m.mu.Unlock()
	if !l.stillFollowing() {
		return errStaleReceiver
	}
	m.upstream.lastContact = time.Now()
	expected := m.log.last() + types.Position(len(m.upstream.pending)) + 1
	for _, e := range d.Entries {
		if e.Position != expected {
			return errors.Errorf("the primary delivered entry %d in place of %d", e.Position, expected)
		}
		expected++
	}
	if len(d.Entries) > 0 {
		m.upstream.pending = append(m.upstream.pending, d.Entries...)
		m.changed.broadcast()
	}
	return nil
}

// sendAcknowledgements reports the received position at every change, and now and then without one.
func (l *logReceiver) sendAcknowledgements(over <-chan struct{}) {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	told := false
	var last types.Position
	for {
		position, changed, err := l.receivedPosition()
		if err != nil {
			_ = l.conn.Close()
			return
		}
		if told && position == last {
			select {
			case <-changed:
				continue
			case <-heartbeat.C:
			case <-over:
				return
			}
		}
		if l.send(acknowledgement{Position: position}) != nil {
			_ = l.conn.Close()
			return
		}
		told, last = true, position
	}
}

// receivedPosition returns what may be acknowledged, and a channel closed at the next change of the member.
func (l *logReceiver) receivedPosition() (types.Position, <-chan struct{}, error) {
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	if !l.stillFollowing() {
		return 0, nil, errStaleReceiver
	}
	return l.m.log.last(), l.m.changed.wait(), nil
}

package fakedb

import (
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

// discardAfter removes the entries after the position up to which the logs are equal, and counts them as discarded.
func (r *logReceiver) discardAfter(match types.Position) error {
	m := r.m
	m.mu.Lock()
	defer m.mu.Unlock()
	if !r.stillFollowing() {
		return errStaleReceiver
	}
	m.upstream.lastContact = time.Now()
	last := m.log.lastPosition()
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
	m.logger.Warn("discarded divergent log entries", "target", m.settings.ID, "after", match, "count", last-match)
	m.changed.broadcast()
	return nil
}

// enqueue checks that the entries continue the log without a gap, and keeps them until the receive lag has passed.
func (r *logReceiver) enqueue(received primaryMessage) error {
	m := r.m
	m.mu.Lock()
	defer m.mu.Unlock()
	if !r.stillFollowing() {
		return errStaleReceiver
	}
	m.upstream.lastContact = time.Now()
	expected := m.log.lastPosition() + types.Position(len(m.upstream.pending)) + 1
	for _, e := range received.Entries {
		if e.Position != expected {
			return errors.Errorf("the primary sent entry %d instead of entry %d", e.Position, expected)
		}
		expected++
	}
	if len(received.Entries) > 0 {
		m.upstream.pending = append(m.upstream.pending, received.Entries...)
		m.changed.broadcast()
	}
	return nil
}

// sendAcknowledgements sends the received position at once, after each change of it, and at each heartbeat interval without a
// change, until done is closed, a write fails or the receiver is out of date.
func (r *logReceiver) sendAcknowledgements(done <-chan struct{}) {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	sent := false
	var last types.Position
	for {
		position, changed, err := r.receivedPosition()
		if err != nil {
			_ = r.conn.Close()
			return
		}
		if sent && position == last {
			select {
			case <-changed:
				continue
			case <-heartbeat.C:
			case <-done:
				return
			}
		}
		if r.send(acknowledgement{Position: position}) != nil {
			_ = r.conn.Close()
			return
		}
		sent, last = true, position
	}
}

// receivedPosition returns the last position of the log and a channel that is closed at the next change of the member.
func (r *logReceiver) receivedPosition() (types.Position, <-chan struct{}, error) {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	if !r.stillFollowing() {
		return 0, nil, errStaleReceiver
	}
	return r.m.log.lastPosition(), r.m.changed.wait(), nil
}

package fakedb

import (
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

// discardAfter drops the entries that the primary does not have and counts them.
func (l *link) discardAfter(match types.Position) error {
	m := l.m
	m.mu.Lock()
	defer m.mu.Unlock()
	if !l.current() {
		return errStale
	}
	m.upstream.heardAt = time.Now()
	last := m.log.last()
	if match >= last {
		return nil
	}
	next := m.promises
	next.Discarded += uint64(last - match)
	if err := m.journal.write(record{Truncate: &match}, record{Promises: &next}); err != nil {
		return err
	}
	m.promises = next
	m.log.truncate(match)
	if m.applied > match {
		m.applied = match
		m.tables = rebuild(m.log.entries)
	}
	m.logger.Warn("log entries discarded", "target", m.settings.ID, "after", match, "count", last-match)
	m.changed.broadcast()
	return nil
}

// take keeps delivered entries until their lag is over.
func (l *link) take(d delivery) error {
	m := l.m
	m.mu.Lock()
	defer m.mu.Unlock()
	if !l.current() {
		return errStale
	}
	m.upstream.heardAt = time.Now()
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

// acknowledge reports the received position at every change, and now and then without one.
func (l *link) acknowledge(over <-chan struct{}) {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	told := false
	var last types.Position
	for {
		position, changed, err := l.position()
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

// position returns what may be acknowledged, and a channel closed at the next change of the member.
func (l *link) position() (types.Position, <-chan struct{}, error) {
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	if !l.current() {
		return 0, nil, errStale
	}
	return l.m.log.last(), l.m.changed.wait(), nil
}

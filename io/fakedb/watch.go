package fakedb

import (
	"time"

	"turmericpulley/core/types"
	"turmericpulley/io/fakedb/syntax"
)

// runWatch runs a watch call: it returns the status once that has changed, or at the time limit.
func (s *session) runWatch(st syntax.Call, args arguments) (*result, error) {
	if err := checkArgumentCount(st, 2, 2); err != nil {
		return nil, err
	}
	after, err := args.integer(st.Arguments[0])
	if err != nil {
		return nil, err
	}
	limit, err := args.integer(st.Arguments[1])
	if err != nil {
		return nil, err
	}
	status, err := s.watch(types.Position(after), time.Duration(limit)*time.Millisecond)
	if err != nil {
		return nil, err
	}
	return status.result(), nil
}

// watch returns the status once the committed position is above the given one, once role, term, epoch or leaving have
// changed, or when the time limit has passed.
func (s *session) watch(after types.Position, limit time.Duration) (Status, error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	m := s.m
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordOwnerCall(s)
	first := m.status()
	for current := first; !current.changedSince(first, after); current = m.status() {
		if s.endErr != nil {
			return Status{}, s.endErr
		}
		changed := m.changed.wait()
		m.mu.Unlock()
		expired, err := s.awaitChange(timer.C, changed)
		m.mu.Lock()
		if err != nil {
			return Status{}, err
		}
		if expired {
			break
		}
	}
	return m.status(), nil
}

// awaitChange waits for a change; it reports true when the timer fires first. It returns an error when the session is terminated
// or cancelled meanwhile.
func (s *session) awaitChange(timer <-chan time.Time, changed <-chan struct{}) (bool, error) {
	select {
	case <-changed:
		return false, nil
	case <-timer:
		return true, nil
	case <-s.done:
		return false, s.endReason()
	case <-s.cancelled:
		return false, errCancelled
	}
}

// changedSince reports whether a watch that began with the status first and the position after has to return.
func (s Status) changedSince(first Status, after types.Position) bool {
	return s.Committed > after ||
		s.Role != first.Role ||
		s.Term != first.Term ||
		s.Epoch != first.Epoch ||
		s.Leaving != first.Leaving
}

package fakedb

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"turmericpulley/core/types"
)

// Transaction states in ReadyForQuery.
const (
	statusIdle          = 'I'
	statusInTransaction = 'T'
	statusFailed        = 'E'
)

// sendParameter sends the value of a setting to the caller.
func (s *session) sendParameter(name string) {
	s.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: s.settings.get(strings.ToLower(name))})
}

// sendChangedParameter sends the value of a changed setting when it is one of reportedSettings.
func (s *session) sendChangedParameter(name string) {
	for _, reported := range reportedSettings {
		if strings.EqualFold(reported, name) {
			s.sendParameter(reported)
		}
	}
}

// sendReady ends a response with ReadyForQuery. When no transaction block is open, it first sends the applied position, unless
// the caller has it already.
func (s *session) sendReady() {
	status, position := s.readyStatus()
	if status == statusIdle && (!s.positionSent || position != s.lastSentPosition) {
		s.positionSent = true
		s.lastSentPosition = position
		s.backend.Send(&pgproto3.ParameterStatus{Name: positionSetting, Value: position.String()})
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}

// readyStatus marks the session as idle and returns the state of its transaction and the applied position.
func (s *session) readyStatus() (byte, types.Position) {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	s.running = false
	s.updateConnectionCount(false)
	switch {
	case s.tx == nil || !s.tx.explicit:
		return statusIdle, s.m.applied
	case s.tx.failed:
		return statusFailed, s.m.applied
	default:
		return statusInTransaction, s.m.applied
	}
}

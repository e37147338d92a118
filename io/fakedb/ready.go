package fakedb

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"turmericpulley/core/types"
)

const (
	statusIdle          = 'I'
	statusInTransaction = 'T'
	statusFailed        = 'E'
)

// sendParameter tells the caller the value of a setting.
func (s *session) sendParameter(name string) {
	s.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: s.settings.get(strings.ToLower(name))})
}

// sendChangedParameter tells the caller a changed setting when it is one of the reported ones.
func (s *session) sendChangedParameter(name string) {
	for _, reported := range reportedSettings {
		if strings.EqualFold(reported, name) {
			s.sendParameter(reported)
		}
	}
}

// sendReady ends an answer, with the position that it reflects when no transaction is open.
func (s *session) sendReady() {
	status, position := s.readyStatus()
	if status == statusIdle && (!s.sentPosition || position != s.lastPosition) {
		s.sentPosition = true
		s.lastPosition = position
		s.backend.Send(&pgproto3.ParameterStatus{Name: positionSetting, Value: position.String()})
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}

// readyStatus returns the status of the transaction and the position that reads show.
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

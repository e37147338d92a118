package pgsrv

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"turmericpulley/core/fault"
)

// reply holds encoded messages that the proxy itself sends to a caller.
type reply struct {
	data []byte
}

// add appends an encoded message.
func (r *reply) add(m pgproto3.BackendMessage) {
	data, err := m.Encode(r.data)
	if err != nil {
		return // encoding fails only above the protocol's size limit, and the proxy's own messages are small
	}
	r.data = data
}

// addError appends an ErrorResponse.
func (r *reply) addError(severity, state, text string) {
	r.add(&pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: state, Message: text})
}

// addFault appends an ErrorResponse for a fault; where names the request in the instance's traces.
func (r *reply) addFault(severity string, f *fault.Fault, where string) {
	r.add(&pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                f.SQLState(),
		Message:             f.Error(),
		Detail:              f.Detail,
		Hint:                f.Remedy(),
		Where:               where,
	})
}

// addReady appends ReadyForQuery.
func (r *reply) addReady(status byte) {
	r.add(&pgproto3.ReadyForQuery{TxStatus: status})
}

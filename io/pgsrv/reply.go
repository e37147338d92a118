package pgsrv

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"turmericpulley/core/fault"
)

// reply collects encoded answers of the proxy's own.
type reply struct {
	data []byte
}

// add appends a message.
func (r *reply) add(m pgproto3.BackendMessage) {
	data, err := m.Encode(r.data)
	if err != nil {
		return // only messages above the protocol's limit fail, and the proxy's own are small
	}
	r.data = data
}

// addError appends an error.
func (r *reply) addError(severity, state, text string) {
	r.add(&pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: state, Message: text})
}

// addFault appends a typed error and says where the request can be followed.
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

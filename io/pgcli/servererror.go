package pgcli

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// ServerError is an error that a target reported.
type ServerError struct {
	SQLState string
	Message  string
}

// Error returns the target's message and its SQLSTATE.
func (e *ServerError) Error() string { return e.Message + " (SQLSTATE " + e.SQLState + ")" }

// ParseError decodes the body of an ErrorResponse; the result is empty when the body cannot be decoded.
func ParseError(body []byte) *ServerError {
	var response pgproto3.ErrorResponse
	if err := response.Decode(body); err != nil {
		return &ServerError{}
	}
	return &ServerError{SQLState: response.Code, Message: response.Message}
}

// SQLState returns the SQLSTATE of the ServerError that err wraps, or an empty string.
func SQLState(err error) string {
	var e *ServerError
	if errors.As(err, &e) {
		return e.SQLState
	}
	return ""
}

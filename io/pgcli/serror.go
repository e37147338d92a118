package pgcli

import (
	"bytes"

	"github.com/pkg/errors"
)

const (
	fieldSQLState = 'C'
	fieldMessage  = 'M'
)

// ServerError is an error that a target reported.
type ServerError struct {
	SQLState string
	Message  string
}

// Error returns the target's message and its SQLSTATE.
func (e *ServerError) Error() string { return e.Message + " (SQLSTATE " + e.SQLState + ")" }

// ParseError reads the body of an ErrorResponse.
func ParseError(body []byte) *ServerError {
	e := &ServerError{}
	for len(body) > 1 {
		field := body[0]
		end := bytes.IndexByte(body[1:], 0)
		if end < 0 {
			break
		}
		value := string(body[1 : 1+end])
		switch field {
		case fieldSQLState:
			e.SQLState = value
		case fieldMessage:
			e.Message = value
		}
		body = body[end+2:]
	}
	return e
}

// SQLState returns the SQLSTATE of a target's error inside err, or an empty string.
func SQLState(err error) string {
	var e *ServerError
	if errors.As(err, &e) {
		return e.SQLState
	}
	return ""
}

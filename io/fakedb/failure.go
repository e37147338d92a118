package fakedb

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"turmericpulley/io/fakedb/syntax"
)

// sqlState is a five-character error code of PostgreSQL.
type sqlState string

const (
	stateProtocolViolation      sqlState = "08P01"
	stateUnsupported            sqlState = "0A000"
	stateActiveTransaction      sqlState = "25001"
	stateReadOnly               sqlState = "25006"
	stateNoTransaction          sqlState = "25P01"
	stateFailedTransaction      sqlState = "25P02"
	stateInvalidText            sqlState = "22P02"
	stateInvalidParameter       sqlState = "22023"
	stateNotNull                sqlState = "23502"
	stateUniqueViolation        sqlState = "23505"
	stateUnknownPrepared        sqlState = "26000"
	stateUnknownPortal          sqlState = "34000"
	stateSyntaxError            sqlState = "42601"
	stateUnknownSetting         sqlState = "42704"
	stateUndefinedFunction      sqlState = "42883"
	stateDuplicatePrepared      sqlState = "42P05"
	stateDuplicateTable         sqlState = "42P07"
	stateTooManyConnections     sqlState = "53300"
	stateNotInPrerequisiteState sqlState = "55000"
	stateLockNotAvailable       sqlState = "55P03"
	stateQueryCanceled          sqlState = "57014"
	stateAdminShutdown          sqlState = "57P01"
	stateCannotConnectNow       sqlState = "57P03"
	stateInputOutput            sqlState = "58030"
	stateInternal               sqlState = "XX000"
	stateWrongParameterCount    sqlState = "08P01"
)

// failure is an error that is sent to the caller; a fatal one ends the connection.
type failure struct {
	state   sqlState
	message string
	fatal   bool
}

func (f *failure) Error() string { return string(f.state) + ": " + f.message }

func fail(state sqlState, message string) error {
	return &failure{state: state, message: message}
}

func failFatal(state sqlState, message string) error {
	return &failure{state: state, message: message, fatal: true}
}

// asFailure converts any error into one that can be sent to the caller.
func asFailure(err error) *failure {
	var f *failure
	if errors.As(err, &f) {
		return f
	}
	var syntaxError *syntax.Error
	if errors.As(err, &syntaxError) {
		return &failure{state: stateSyntaxError, message: syntaxError.Error()}
	}
	return &failure{state: stateInternal, message: err.Error()}
}

func (f *failure) response() *pgproto3.ErrorResponse {
	severity := "ERROR"
	if f.fatal {
		severity = "FATAL"
	}
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                string(f.state),
		Message:             f.message,
	}
}

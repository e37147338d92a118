package fakedb

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"turmericpulley/io/fakedb/syntax"
)

// errCallerClosed is returned after a Terminate message of the caller.
var errCallerClosed = errors.New("the caller ended the session")

// rowsPerFlush is the number of rows after which the rows of a long result are flushed to the connection.
const rowsPerFlush = 256

// messageLoop handles messages until the session ends.
func (s *session) messageLoop() {
	for {
		message, err := s.backend.Receive()
		if err == nil {
			s.clearCancel()
			err = s.handleMessage(message)
		}
		if err == nil {
			continue
		}
		if reason := s.endReason(); reason != nil && !errors.Is(err, errCallerClosed) {
			s.sendFinalError(reason)
		}
		return
	}
}

// handleMessage handles one message; an error ends the session.
func (s *session) handleMessage(message pgproto3.FrontendMessage) error {
	if s.skippingToSync {
		if _, ok := message.(*pgproto3.Sync); !ok {
			if _, terminated := message.(*pgproto3.Terminate); terminated {
				return errCallerClosed
			}
			return nil
		}
	}
	switch message := message.(type) {
	case *pgproto3.Query:
		return s.finishResponse(s.simpleQuery(message.String))
	case *pgproto3.Parse:
		return s.endExtendedStep(s.handleParse(message))
	case *pgproto3.Bind:
		return s.endExtendedStep(s.handleBind(message))
	case *pgproto3.Describe:
		return s.endExtendedStep(s.handleDescribe(message))
	case *pgproto3.Execute:
		return s.endExtendedStep(s.handleExecute(message))
	case *pgproto3.Close:
		s.handleClose(message)
		return nil
	case *pgproto3.Sync:
		return s.finishResponse(s.handleSync())
	case *pgproto3.Flush:
		return s.flush()
	case *pgproto3.Terminate:
		return errCallerClosed
	default:
		return s.endExtendedStep(fail(stateProtocolViolation, "unexpected message; send a query"))
	}
}

// finishResponse sends an error, if any, and ReadyForQuery. A fatal error is returned instead, and messageLoop sends the reason
// for which the session was terminated.
func (s *session) finishResponse(err error) error {
	if err != nil {
		s.sendError(err)
		if f := asFailure(err); f.fatal {
			return f
		}
	}
	s.sendReady()
	return s.flush()
}

// flush writes the buffered messages. It returns an error when the write fails or when the session was terminated meanwhile.
func (s *session) flush() error {
	if err := s.backend.Flush(); err != nil {
		return errors.Wrap(err, "writing a response")
	}
	return s.endReason()
}

// simpleQuery runs the statements of one query text; outside a transaction block, they form one transaction.
func (s *session) simpleQuery(text string) error {
	statements, err := syntax.Parse(text)
	if err != nil {
		return err
	}
	if len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, st := range statements {
		r, err := s.run(st, nil)
		if err == nil && i == len(statements)-1 {
			err = s.commitImplicit()
		}
		if err != nil {
			return err
		}
		s.sendResult(r)
	}
	return nil
}

// sendResult sends the columns, rows and command tag of a result.
func (s *session) sendResult(r *result) {
	s.sendNotice(r)
	if r.columns != nil {
		s.backend.Send(rowDescription(r.columns, nil))
	}
	s.sendRows(r.columns, r.rows, nil)
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
}

// sendRows sends rows and flushes after every rowsPerFlush of them, so that a slow reader slows down a long result.
func (s *session) sendRows(columns []column, rows []row, formats []int16) {
	for i, row := range rows {
		s.backend.Send(encodeRow(columns, row, formats))
		if (i+1)%rowsPerFlush != 0 {
			continue
		}
		if s.backend.Flush() != nil {
			return
		}
	}
}

func (s *session) sendNotice(r *result) {
	if r.notice == nil {
		return
	}
	s.backend.Send(&pgproto3.NoticeResponse{
		Severity:            "WARNING",
		SeverityUnlocalized: "WARNING",
		Code:                string(r.notice.state),
		Message:             r.notice.message,
	})
}

// sendError fails the transaction and sends the error, unless it is a fatal one.
func (s *session) sendError(err error) {
	s.failTransaction()
	f := asFailure(err)
	if f.fatal {
		return
	}
	s.backend.Send(f.response())
}

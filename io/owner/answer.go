package owner

import (
	"bytes"

	"turmericpulley/io/pgcli"
)

const sqlStateReadOnlyTransaction = "25006"

// answer is the part of a target's answer to one batch that has been read.
type answer struct {
	// held are the messages that have not been sent to the caller yet.
	held []byte
	// status is the transaction status of ReadyForQuery; zero before that message.
	status byte
	// refusedWrite tells that the target refused a write because it is a replica or its transaction is read-only.
	refusedWrite bool
	// failed tells that the answer contains an error.
	failed bool
	// sqlState is the code of the last error.
	sqlState string
	// completed tells that a command has completed, so that the messages from there on wait for its confirmation.
	completed bool
	// committedBlock tells that a command committed a transaction block.
	committedBlock bool
	// beganBlock tells that a command began a transaction block.
	beganBlock bool
	// tag is the command tag of the last command that completed.
	tag string
}

// add records one message and holds it.
func (a *answer) add(m pgcli.Message) {
	switch m.Type {
	case pgcli.TypeErrorResponse:
		a.failed = true
		a.sqlState = pgcli.ParseError(m.Body()).SQLState
		a.refusedWrite = a.refusedWrite || a.sqlState == sqlStateReadOnlyTransaction
	case pgcli.TypeCommandComplete, pgcli.TypeEmptyQuery:
		a.completed = true
		a.tag = string(bytes.TrimRight(m.Body(), "\x00"))
		a.committedBlock = a.committedBlock || a.tag == tagCommit
		a.beganBlock = a.beganBlock || a.tag == tagBegin || a.tag == tagStart
	case pgcli.TypeReadyForQuery:
		a.status = m.Body()[0]
	}
	a.held = append(a.held, m.Raw...)
}

func (a *answer) ended() bool { return a.status != 0 }

// take returns the held messages and empties the list.
func (a *answer) take() []byte {
	held := a.held
	a.held = nil
	return held
}

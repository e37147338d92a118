package owner

import (
	"bytes"

	"turmericpulley/io/pgcli"
)

const sqlStateReadOnlyTransaction = "25006"

// answer is what has been read of a target's answer to one batch.
type answer struct {
	// held are messages that have not been relayed yet.
	held []byte
	// status is the transaction status of ReadyForQuery, zero before it.
	status byte
	// refusedWrite tells that the target refused a write because it is a replica.
	refusedWrite bool
	// failed tells that the answer holds an error.
	failed bool
	// sqlState is the code of the last error.
	sqlState string
	// completed tells that a command has completed, so that what follows waits for its confirmation.
	completed bool
	// committedBlock tells that a command ended a transaction block.
	committedBlock bool
	// beganBlock tells that a command opened a transaction block.
	beganBlock bool
	// tag is the tag of the last command that completed.
	tag string
}

// add takes in one message.
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

// take returns the messages held and starts anew.
func (a *answer) take() []byte {
	held := a.held
	a.held = nil
	return held
}

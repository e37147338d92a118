package owner

import (
	"context"
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"

	"turmericpulley/core/fault"
	"turmericpulley/core/trace"
	"turmericpulley/io/pgcli"
)

const (
	sqlStateUniqueViolation = "23505"

	tagBegin  = "BEGIN"
	tagStart  = "START TRANSACTION"
	tagCommit = "COMMIT"
)

// runKeyed runs a batch and inserts a record of its request key in one transaction, so that the request runs at most once. A
// repeated request is answered from the record.
func (t *transaction) runKeyed(ctx context.Context, payload []byte, ended bool) error {
	if !ended {
		return fault.New(fault.ProtocolViolation, "a request with a key must be sent as one batch")
	}
	mc, err := t.acquirePrimary(ctx)
	if err != nil {
		return err
	}
	t.attempts++
	key := quoteLiteral(t.begin.GetCustomer() + "/" + string(t.begin.GetRequestKey()))
	repeated, err := t.insertRequestRecord(ctx, mc, key)
	if pgcli.SQLState(err) != "" {
		return t.refuseKeyed(ctx, mc, err)
	}
	if err != nil {
		mc.release(false)
		return t.primaryFailure(ctx, err)
	}
	if repeated {
		return t.answerFromRecord(ctx, mc, key, payload)
	}
	var a answer
	if err := t.runBatch(ctx, mc, payload, true, &a); err != nil {
		mc.release(false)
		return t.primaryFailure(ctx, err)
	}
	if a.status != pgcli.StatusInTransaction || a.failed {
		return t.rollBackKeyed(ctx, mc, &a)
	}
	if a.beganBlock {
		return t.continueKeyedBlock(ctx, mc, &a)
	}
	return t.commitKeyed(ctx, mc, key, &a)
}

// continueKeyedBlock continues a transaction block that the caller began; its commit also commits the record.
func (t *transaction) continueKeyedBlock(ctx context.Context, mc memberConn, a *answer) error {
	return t.continueBlock(ctx, mc, a)
}

// refuseKeyed refuses a request whose record could not be inserted, for example because another run of it is in progress.
// The request itself was not sent.
func (t *transaction) refuseKeyed(ctx context.Context, mc memberConn, cause error) error {
	if err := t.execStatement(ctx, mc, "ROLLBACK"); err != nil {
		mc.release(false)
	} else {
		mc.release(true)
	}
	return fault.New(fault.KeyBusy, "the request key could not be recorded: "+cause.Error())
}

func updateRecordSQL(key, tag string) string {
	return "UPDATE pulley_requests SET value = " + quoteLiteral(tag) + " WHERE key = " + key
}

// insertRequestRecord begins a transaction and inserts the record with the tag of COMMIT, which commitKeyed replaces. repeated
// reports that the record exists already.
func (t *transaction) insertRequestRecord(ctx context.Context, mc memberConn, key string) (repeated bool, err error) {
	var a answer
	sql := "BEGIN; INSERT INTO pulley_requests (key, value) VALUES (" + key + ", " + quoteLiteral(tagCommit) + ")"
	if err := t.runBatch(ctx, mc, pgcli.EncodeQuery(nil, sql), true, &a); err != nil {
		return false, err
	}
	if a.sqlState == sqlStateUniqueViolation {
		return true, t.execStatement(ctx, mc, "ROLLBACK")
	}
	if a.failed {
		return false, &pgcli.ServerError{SQLState: a.sqlState, Message: "recording the request key failed"}
	}
	return false, nil
}

func (t *transaction) execStatement(ctx context.Context, mc memberConn, sql string) error {
	var a answer
	if err := t.runBatch(ctx, mc, pgcli.EncodeQuery(nil, sql), true, &a); err != nil {
		return err
	}
	if a.failed {
		return &pgcli.ServerError{SQLState: a.sqlState, Message: "statement " + sql + " failed"}
	}
	return nil
}

// rollBackKeyed ends a request that failed or that ended its transaction itself. It rolls back the transaction with the record
// if it is still open, and sends the target's answer to the caller.
func (t *transaction) rollBackKeyed(ctx context.Context, mc memberConn, a *answer) error {
	if err := t.execStatement(ctx, mc, "ROLLBACK"); err != nil {
		mc.release(false)
		return t.primaryFailure(ctx, err)
	}
	setReadyStatus(a.held, pgcli.StatusIdle)
	return t.answerWhenCommitted(ctx, mc, a)
}

// commitKeyed stores the request's command tag in the record, commits, and answers once the commit is confirmed.
func (t *transaction) commitKeyed(ctx context.Context, mc memberConn, key string, a *answer) error {
	if err := t.execStatement(ctx, mc, updateRecordSQL(key, a.tag)); err != nil {
		mc.release(false)
		return t.primaryFailure(ctx, err)
	}
	if err := t.execStatement(ctx, mc, "COMMIT"); err != nil {
		mc.release(false)
		return t.primaryFailure(ctx, err)
	}
	setReadyStatus(a.held, pgcli.StatusIdle)
	return t.answerWhenCommitted(ctx, mc, a)
}

// answerFromRecord answers a repeated request from the record that its first run inserted. The record holds the command tag of
// the request. It holds the tag of COMMIT when the caller ended the transaction itself; that answer cannot be repeated.
func (t *transaction) answerFromRecord(ctx context.Context, mc memberConn, key string, payload []byte) error {
	row, err := mc.conn.QueryRow("SELECT value FROM pulley_requests WHERE key = "+key, controlTimeout)
	if err != nil || row == nil {
		mc.release(false)
		return fault.New(fault.OutcomeUnknown, "the record of the request key could not be read")
	}
	t.owner.settings.Counters.RepeatedRequests.Add(1)
	if row["value"] == tagCommit {
		if err := t.releaseAndAwaitCommit(ctx, mc); err != nil {
			return err
		}
		return fault.New(fault.AlreadyRun, "the transaction block with this request key was committed before")
	}
	t.recordEvent(trace.Event{Step: trace.Answered, Target: mc.target, Term: mc.term, Detail: "from the record of the request key"})
	a := answer{held: recordedAnswer(payload, row["value"])}
	return t.answerWhenCommitted(ctx, mc, &a)
}

// setReadyStatus changes the transaction status of the ReadyForQuery at the end of the messages.
func setReadyStatus(held []byte, status byte) {
	if len(held) > 0 {
		held[len(held)-1] = status
	}
}

// recordedAnswer builds an answer to each message of a batch, with the recorded command tag for each command.
func recordedAnswer(payload []byte, tag string) []byte {
	var out []byte
	for len(payload) >= messageHeaderBytes {
		length := int(binary.BigEndian.Uint32(payload[1:])) + 1
		if length > len(payload) {
			break
		}
		switch payload[0] {
		case 'P':
			out = appendMessage(out, &pgproto3.ParseComplete{})
		case 'B':
			out = appendMessage(out, &pgproto3.BindComplete{})
		case 'C':
			out = appendMessage(out, &pgproto3.CloseComplete{})
		case 'D':
			if payload[messageHeaderBytes] == 'S' {
				out = appendMessage(out, &pgproto3.ParameterDescription{})
			}
			out = appendMessage(out, &pgproto3.NoData{})
		case 'E':
			out = appendMessage(out, &pgproto3.CommandComplete{CommandTag: []byte(tag)})
		case 'Q':
			out = appendMessage(out, &pgproto3.CommandComplete{CommandTag: []byte(tag)})
			out = appendMessage(out, &pgproto3.ReadyForQuery{TxStatus: pgcli.StatusIdle})
		case 'S':
			out = appendMessage(out, &pgproto3.ReadyForQuery{TxStatus: pgcli.StatusIdle})
		}
		payload = payload[length:]
	}
	return out
}

const messageHeaderBytes = 5

// appendMessage appends a message. Encoding fails only for messages far larger than those that are built here.
func appendMessage(out []byte, m pgproto3.BackendMessage) []byte {
	encoded, err := m.Encode(out)
	if err != nil {
		return out
	}
	return encoded
}

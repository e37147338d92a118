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

// runKeyed runs a batch together with a record of its request key in one transaction, so that the request runs at most
// once; a repeat is answered from the record.
func (t *transaction) runKeyed(ctx context.Context, payload []byte, ended bool) error {
	if !ended {
		return fault.New(fault.ProtocolViolation, "a request with a key must be sent as one batch")
	}
	g, err := t.acquirePrimary(ctx)
	if err != nil {
		return err
	}
	t.attempts++
	key := quoteLiteral(t.begin.GetCustomer() + "/" + t.begin.GetRequestKey())
	repeated, err := t.insertRequestRecord(ctx, g, key)
	if pgcli.SQLState(err) != "" {
		return t.refuseKeyed(ctx, g, err)
	}
	if err != nil {
		g.release(false)
		return t.primaryFailure(ctx, err)
	}
	if repeated {
		return t.answerFromRecord(ctx, g, key, payload)
	}
	var a answer
	if err := t.runBatch(ctx, g, payload, true, &a); err != nil {
		g.release(false)
		return t.primaryFailure(ctx, err)
	}
	if a.status != pgcli.StatusInTransaction || a.failed {
		return t.rollBackKeyed(ctx, g, &a)
	}
	if a.beganBlock {
		return t.continueKeyedBlock(ctx, g, &a)
	}
	return t.commitKeyed(ctx, g, key, &a)
}

// continueKeyedBlock goes on with a transaction block of the caller's, which commits the record with its own work.
func (t *transaction) continueKeyedBlock(ctx context.Context, g memberConn, a *answer) error {
	return t.continueBlock(ctx, g, a)
}

// refuseKeyed gives up before the request itself was sent, such as when another run of it holds the record.
func (t *transaction) refuseKeyed(ctx context.Context, g memberConn, cause error) error {
	if err := t.execStatement(ctx, g, "ROLLBACK"); err != nil {
		g.release(false)
	} else {
		g.release(true)
	}
	return fault.New(fault.KeyBusy, "the request key could not be recorded: "+cause.Error())
}

func updateRecordSQL(key, tag string) string {
	return "UPDATE pulley_requests SET value = " + quoteLiteral(tag) + " WHERE key = " + key
}

// insertRequestRecord opens a transaction and inserts the record; repeated tells that it exists.
func (t *transaction) insertRequestRecord(ctx context.Context, g memberConn, key string) (repeated bool, err error) {
	var a answer
	sql := "BEGIN; INSERT INTO pulley_requests (key, value) VALUES (" + key + ", " + quoteLiteral(tagCommit) + ")"
	if err := t.runBatch(ctx, g, pgcli.EncodeQuery(nil, sql), true, &a); err != nil {
		return false, err
	}
	if a.sqlState == sqlStateUniqueViolation {
		return true, t.execStatement(ctx, g, "ROLLBACK")
	}
	if a.failed {
		return false, &pgcli.ServerError{SQLState: a.sqlState, Message: "recording the request key failed"}
	}
	return false, nil
}

func (t *transaction) execStatement(ctx context.Context, g memberConn, sql string) error {
	var a answer
	if err := t.runBatch(ctx, g, pgcli.EncodeQuery(nil, sql), true, &a); err != nil {
		return err
	}
	if a.failed {
		return &pgcli.ServerError{SQLState: a.sqlState, Message: "statement " + sql + " failed"}
	}
	return nil
}

// rollBackKeyed gives up a request that failed, its record included, and relays the target's error.
func (t *transaction) rollBackKeyed(ctx context.Context, g memberConn, a *answer) error {
	if err := t.execStatement(ctx, g, "ROLLBACK"); err != nil {
		g.release(false)
		return t.primaryFailure(ctx, err)
	}
	setReadyStatus(a.held, pgcli.StatusIdle)
	return t.answerWhenCommitted(ctx, g, a)
}

func (t *transaction) commitKeyed(ctx context.Context, g memberConn, key string, a *answer) error {
	if err := t.execStatement(ctx, g, updateRecordSQL(key, a.tag)); err != nil {
		g.release(false)
		return t.primaryFailure(ctx, err)
	}
	if err := t.execStatement(ctx, g, "COMMIT"); err != nil {
		g.release(false)
		return t.primaryFailure(ctx, err)
	}
	setReadyStatus(a.held, pgcli.StatusIdle)
	return t.answerWhenCommitted(ctx, g, a)
}

// answerFromRecord answers from the record that the first run of the request left.
func (t *transaction) answerFromRecord(ctx context.Context, g memberConn, key string, payload []byte) error {
	row, err := g.conn.QueryRow("SELECT value FROM pulley_requests WHERE key = "+key, controlTimeout)
	if err != nil || row == nil {
		g.release(false)
		return fault.New(fault.OutcomeUnknown, "the record of the request key could not be read")
	}
	t.owner.settings.Counters.RepeatedRequests.Add(1)
	if row["value"] == tagCommit {
		if err := t.releaseAndAwaitCommit(ctx, g); err != nil {
			return err
		}
		return fault.New(fault.AlreadyRun, "the transaction block with this request key was committed before")
	}
	t.recordEvent(trace.Event{Step: trace.Answered, Target: g.target, Term: g.term, Detail: "from the record of the request key"})
	a := answer{held: recordedAnswer(payload, row["value"])}
	return t.answerWhenCommitted(ctx, g, &a)
}

// setReadyStatus changes the status of the ReadyForQuery that ends the messages.
func setReadyStatus(held []byte, status byte) {
	if len(held) > 0 {
		held[len(held)-1] = status
	}
}

// recordedAnswer builds the answer that each message of a batch expects, with the recorded tag for each command.
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

// appendMessage appends a message; those that are built here are far below the size that the library refuses.
func appendMessage(out []byte, m pgproto3.BackendMessage) []byte {
	encoded, err := m.Encode(out)
	if err != nil {
		return out
	}
	return encoded
}

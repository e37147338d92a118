package fakedb

import (
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

const (
	// heartbeatInterval is the longest silence on a replication link.
	heartbeatInterval = 100 * time.Millisecond
	// replicationTimeout is the silence after which an end gives a replication link up.
	replicationTimeout = 2 * time.Second
	// maxEntriesPerMessage is the most entries in one message.
	maxEntriesPerMessage = 256
)

// logSender streams the log of a primary to one replica.
type logSender struct {
	m       *Member
	conn    net.Conn
	backend *pgproto3.Backend
	target  types.TargetID
	term    types.Term
	sent    types.Position
}

// sendLog serves one replication connection.
func (m *Member) sendLog(conn net.Conn, backend *pgproto3.Backend) {
	f := &logSender{m: m, conn: conn, backend: backend}
	f.extendDeadline()
	if err := f.handshake(); err != nil {
		backend.Send(asFailure(err).response())
		_ = backend.Flush()
		return
	}
	over := make(chan struct{})
	m.goroutines.Add(1)
	go func() {
		defer m.goroutines.Done()
		f.sendEntries(over)
	}()
	f.receiveAcknowledgements()
	close(over)
}

func (f *logSender) extendDeadline() {
	_ = f.conn.SetDeadline(time.Now().Add(replicationTimeout))
}

// handshake agrees with the replica on the term and on where to begin.
func (f *logSender) handshake() error {
	f.backend.Send(&pgproto3.AuthenticationOk{})
	f.backend.Send(&pgproto3.ReadyForQuery{TxStatus: statusIdle})
	if err := f.backend.Flush(); err != nil {
		return errors.Wrap(err, "greeting a replica")
	}
	message, err := f.backend.Receive()
	if err != nil {
		return errors.Wrap(err, "reading a replica's query")
	}
	if query, ok := message.(*pgproto3.Query); !ok || query.String != replicationQuery {
		return fail(stateProtocolViolation, "a replication connection must begin with "+replicationQuery)
	}
	f.backend.Send(&pgproto3.CopyBothResponse{})
	if err = f.backend.Flush(); err != nil {
		return errors.Wrap(err, "answering a replica")
	}
	var first replicationRequest
	if err = f.receive(&first); err != nil {
		return err
	}
	match, err := f.findMatch(first)
	if err != nil {
		return err
	}
	return f.send(primaryMessage{Match: &match})
}

// findMatch checks the term and finds the last position up to which the logs are equal.
func (f *logSender) findMatch(first replicationRequest) (types.Position, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	f.target, f.term = first.Target, first.Term
	if !f.stillPrimary() {
		return 0, fail(stateNotInRequiredState, "the member is not the primary of term "+first.Term.String())
	}
	f.sent = f.m.log.match(first.TermRanges)
	return f.sent, nil
}

// stillPrimary reports whether the member is still the primary of the stream's term; the caller holds the lock.
func (f *logSender) stillPrimary() bool {
	return !f.m.closed && f.m.role == Primary && f.m.durable.Term == f.term
}

func (f *logSender) receive(frame any) error {
	message, err := f.backend.Receive()
	if err != nil {
		return errors.Wrap(err, "reading from a replica")
	}
	data, ok := message.(*pgproto3.CopyData)
	if !ok {
		return fail(stateProtocolViolation, "a replica may only send CopyData")
	}
	return decodeMessage(data.Data, frame)
}

func (f *logSender) send(d primaryMessage) error {
	data, err := encodeMessage(d)
	if err != nil {
		return err
	}
	f.backend.Send(&pgproto3.CopyData{Data: data})
	return errors.Wrap(f.backend.Flush(), "writing to a replica")
}

// receiveAcknowledgements takes acknowledgements until the link breaks or the member is no longer the primary of the term.
func (f *logSender) receiveAcknowledgements() {
	for {
		var a acknowledgement
		if err := f.receive(&a); err != nil {
			return
		}
		f.extendDeadline()
		if !f.recordAcknowledgement(a.Position) {
			return
		}
	}
}

func (f *logSender) recordAcknowledgement(p types.Position) bool {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if !f.stillPrimary() {
		return false
	}
	f.m.acknowledged[f.target] = p
	f.m.updateCommitted()
	return true
}

// sendEntries sends new entries, and heartbeats when there are none.
func (f *logSender) sendEntries(over <-chan struct{}) {
	defer func() { _ = f.conn.Close() }()
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		entries, changed, ok := f.nextEntries()
		if !ok {
			return
		}
		if len(entries) == 0 {
			select {
			case <-changed:
				continue
			case <-heartbeat.C:
			case <-over:
				return
			}
		}
		if f.send(primaryMessage{Entries: entries}) != nil {
			return
		}
	}
}

// nextEntries returns the entries to send, and a channel closed at the next change of the member.
func (f *logSender) nextEntries() ([]entry, <-chan struct{}, bool) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if !f.stillPrimary() {
		return nil, nil, false
	}
	entries := f.m.log.after(f.sent, maxEntriesPerMessage)
	f.sent += types.Position(len(entries))
	return entries, f.m.changed.wait(), true
}

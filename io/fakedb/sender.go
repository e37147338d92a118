package fakedb

import (
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

const (
	// heartbeatInterval is the maximum time between two messages on a replication connection, in each direction.
	heartbeatInterval = 100 * time.Millisecond
	// replicationTimeout is the time without a message after which either end closes a replication connection.
	replicationTimeout = 2 * time.Second
	// maxEntriesPerMessage is the maximum number of log entries in one message.
	maxEntriesPerMessage = 256
)

// logSender sends the log of a primary to one replica, as the WAL sender of PostgreSQL does.
type logSender struct {
	m       *Member
	conn    net.Conn
	backend *pgproto3.Backend
	target  types.TargetID
	term    types.Term
	// lastSent is the position of the last entry sent; before the first one, it is the position up to which the logs are equal.
	lastSent types.Position
}

// sendLog serves one replication connection until it breaks or the member is no longer the primary of its term.
func (m *Member) sendLog(conn net.Conn, backend *pgproto3.Backend) {
	sender := &logSender{m: m, conn: conn, backend: backend}
	sender.extendDeadline()
	if err := sender.handshake(); err != nil {
		backend.Send(asFailure(err).response())
		_ = backend.Flush()
		return
	}
	done := make(chan struct{})
	m.goroutines.Add(1)
	go func() {
		defer m.goroutines.Done()
		sender.sendEntries(done)
	}()
	sender.receiveAcknowledgements()
	close(done)
}

func (s *logSender) extendDeadline() {
	_ = s.conn.SetDeadline(time.Now().Add(replicationTimeout))
}

// handshake checks the term that the replica names and tells it up to which position the logs are equal.
func (s *logSender) handshake() error {
	s.backend.Send(&pgproto3.AuthenticationOk{})
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: statusIdle})
	if err := s.backend.Flush(); err != nil {
		return errors.Wrap(err, "accepting a replica")
	}
	message, err := s.backend.Receive()
	if err != nil {
		return errors.Wrap(err, "reading a replica's query")
	}
	if query, ok := message.(*pgproto3.Query); !ok || query.String != replicationQuery {
		return fail(stateProtocolViolation, "a replication connection must begin with "+replicationQuery)
	}
	s.backend.Send(&pgproto3.CopyBothResponse{})
	if err = s.backend.Flush(); err != nil {
		return errors.Wrap(err, "answering a replica")
	}
	var first replicationRequest
	if err = s.receive(&first); err != nil {
		return err
	}
	match, err := s.findMatch(first)
	if err != nil {
		return err
	}
	return s.send(primaryMessage{Match: &match})
}

// findMatch checks the term and returns the last position up to which the logs are equal.
func (s *logSender) findMatch(first replicationRequest) (types.Position, error) {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	s.target, s.term = first.Target, first.Term
	if !s.stillPrimary() {
		return 0, fail(stateNotInPrerequisiteState, "the member is not the primary of term "+first.Term.String())
	}
	s.lastSent = s.m.log.match(first.TermRanges)
	return s.lastSent, nil
}

// stillPrimary reports whether the member is still the primary of the connection's term; the caller holds the lock.
func (s *logSender) stillPrimary() bool {
	return !s.m.closed && s.m.role == Primary && s.m.durable.Term == s.term
}

func (s *logSender) receive(into any) error {
	message, err := s.backend.Receive()
	if err != nil {
		return errors.Wrap(err, "reading from a replica")
	}
	data, ok := message.(*pgproto3.CopyData)
	if !ok {
		return fail(stateProtocolViolation, "a replica may only send CopyData")
	}
	return decodeMessage(data.Data, into)
}

func (s *logSender) send(d primaryMessage) error {
	data, err := encodeMessage(d)
	if err != nil {
		return err
	}
	s.backend.Send(&pgproto3.CopyData{Data: data})
	return errors.Wrap(s.backend.Flush(), "writing to a replica")
}

// receiveAcknowledgements records acknowledgements until the connection breaks or the member is no longer the primary of
// the term.
func (s *logSender) receiveAcknowledgements() {
	for {
		var a acknowledgement
		if err := s.receive(&a); err != nil {
			return
		}
		s.extendDeadline()
		if !s.recordAcknowledgement(a.Position) {
			return
		}
	}
}

// recordAcknowledgement stores the last position that the replica has received. It reports false when the member is no longer
// the primary of the term.
func (s *logSender) recordAcknowledgement(p types.Position) bool {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	if !s.stillPrimary() {
		return false
	}
	s.m.acknowledged[s.target] = p
	s.m.updateCommitted()
	return true
}

// sendEntries sends new entries, and heartbeats when there are none, until a write fails, done is closed or the member is no
// longer the primary of the term. It then closes the connection.
func (s *logSender) sendEntries(done <-chan struct{}) {
	defer func() { _ = s.conn.Close() }()
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		entries, changed, ok := s.nextEntries()
		if !ok {
			return
		}
		if len(entries) == 0 {
			select {
			case <-changed:
				continue
			case <-heartbeat.C:
			case <-done:
				return
			}
		}
		if s.send(primaryMessage{Entries: entries}) != nil {
			return
		}
	}
}

// nextEntries returns the entries to send and a channel that is closed at the next change of the member. It reports false
// when the member is no longer the primary of the term.
func (s *logSender) nextEntries() ([]entry, <-chan struct{}, bool) {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	if !s.stillPrimary() {
		return nil, nil, false
	}
	entries := s.m.log.entriesAfter(s.lastSent, maxEntriesPerMessage)
	s.lastSent += types.Position(len(entries))
	return entries, s.m.changed.wait(), true
}

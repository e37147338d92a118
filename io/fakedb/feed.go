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
	// linkTimeout is the silence after which an end gives a replication link up.
	linkTimeout = 2 * time.Second
	// maxBatch is the most entries in one message.
	maxBatch = 256
)

// feeder streams the log of a primary to one replica.
type feeder struct {
	m       *Member
	conn    net.Conn
	backend *pgproto3.Backend
	target  types.TargetID
	term    types.Term
	sent    types.Position
}

// feed serves one replication connection.
func (m *Member) feed(conn net.Conn, backend *pgproto3.Backend) {
	f := &feeder{m: m, conn: conn, backend: backend}
	f.extendDeadline()
	if err := f.open(); err != nil {
		backend.Send(asFailure(err).response())
		_ = backend.Flush()
		return
	}
	over := make(chan struct{})
	m.work.Add(1)
	go func() {
		defer m.work.Done()
		f.stream(over)
	}()
	f.listen()
	close(over)
}

func (f *feeder) extendDeadline() {
	_ = f.conn.SetDeadline(time.Now().Add(linkTimeout))
}

// open agrees with the replica on the term and on where to begin.
func (f *feeder) open() error {
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
	var first opening
	if err = f.receive(&first); err != nil {
		return err
	}
	match, err := f.agree(first)
	if err != nil {
		return err
	}
	return f.send(delivery{Match: &match})
}

// agree checks the term and finds the last position up to which the logs are equal.
func (f *feeder) agree(first opening) (types.Position, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	f.target, f.term = first.Target, first.Term
	if !f.valid() {
		return 0, fail(stateNotInRequiredState, "the member is not the primary of term "+first.Term.String())
	}
	f.sent = f.m.log.match(first.Runs)
	return f.sent, nil
}

// valid reports whether the member is still the primary of the stream's term; the caller holds the lock.
func (f *feeder) valid() bool {
	return !f.m.closed && f.m.role == Primary && f.m.promises.Term == f.term
}

func (f *feeder) receive(frame any) error {
	message, err := f.backend.Receive()
	if err != nil {
		return errors.Wrap(err, "reading from a replica")
	}
	data, ok := message.(*pgproto3.CopyData)
	if !ok {
		return fail(stateProtocolViolation, "a replica may only send CopyData")
	}
	return decodeFrame(data.Data, frame)
}

func (f *feeder) send(d delivery) error {
	data, err := encodeFrame(d)
	if err != nil {
		return err
	}
	f.backend.Send(&pgproto3.CopyData{Data: data})
	return errors.Wrap(f.backend.Flush(), "writing to a replica")
}

// listen takes acknowledgements until the link breaks or the member is no longer the primary of the term.
func (f *feeder) listen() {
	for {
		var a acknowledgement
		if err := f.receive(&a); err != nil {
			return
		}
		f.extendDeadline()
		if !f.acknowledge(a.Position) {
			return
		}
	}
}

func (f *feeder) acknowledge(p types.Position) bool {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if !f.valid() {
		return false
	}
	f.m.received[f.target] = p
	f.m.countCommitted()
	return true
}

// stream sends new entries, and heartbeats when there are none.
func (f *feeder) stream(over <-chan struct{}) {
	defer func() { _ = f.conn.Close() }()
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		entries, changed, ok := f.next()
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
		if f.send(delivery{Entries: entries}) != nil {
			return
		}
	}
}

// next returns the entries to send, and a channel closed at the next change of the member.
func (f *feeder) next() ([]entry, <-chan struct{}, bool) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if !f.valid() {
		return nil, nil, false
	}
	entries := f.m.log.after(f.sent, maxBatch)
	f.sent += types.Position(len(entries))
	return entries, f.m.changed.wait(), true
}
